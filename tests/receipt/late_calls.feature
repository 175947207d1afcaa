Feature: Calls that are read late don't undo later ones

  Background:
    Given a control instance with an administration API and the platform's calls
    And availability zone "north-a" is evacuated

  Scenario Outline: The caller has given up and taken the zone back and evacuated it elsewhere
    Guards against a call that is run after its caller has closed the connection.
    When the event loop is blocked for 0.3 s, and in this time
      | caller sends and closes | <call>  |
      | other instances confirm | take back north-a, evacuate north-a |
    Then availability zone "north-a" stays evacuated

    Examples:
      | call                                             |
      | platform POST /-/Evacuate.Finish/north-a         |
      | administration DELETE /v1/evacuations/north-a    |

  Scenario Outline: The caller has gone without closing its connection
    Guards against a call that waited in its socket while the process was suspended.
    When the event loop is blocked for <blocked_s> s, and in this time
      | caller sends            | <call>  |
      | other instances confirm | take back north-a, evacuate north-a |
    Then the call is refused with 503 and code 1202
    And availability zone "north-a" stays evacuated

    Examples:
      | call                                             | blocked_s |
      | platform POST /-/Evacuate.Finish/north-a         | 0.7       |
      | administration DELETE /v1/evacuations/north-a    | 0.7       |

  Scenario Outline: A caller that still waits is served, soon after a suspension too
    When the event loop is blocked for <blocked_s> s, and in this time
      | caller sends | platform POST /-/Evacuate.Finish/north-a |
    And <pause_s> s later the same call is sent again
    Then the call is answered with 200
    And availability zone "north-a" isn't evacuated

    Examples:
      | blocked_s | pause_s |
      | 0.2       | 0       |
      | 0.7       | 0.6     |

  Scenario Outline: The network holds up a call for longer than its caller waits
    Guards against a call that arrives late, just before the caller's close does.
    Given the other instances confirm "take back north-a, evacuate north-a"
    When the caller sends "<call>", and closes 0.1 s later
    Then availability zone "north-a" stays evacuated

    Examples:
      | call                                          |
      | platform POST /-/Evacuate.Finish/north-a      |
      | administration DELETE /v1/evacuations/north-a |

  Scenario: The caller is served elsewhere while this instance reads its rights
    Guards against a base that is younger than the call.
    Given the operator "budi" was made with the grants "*=drain"
    When reads of the log take 0.3 s, and 0.1 s after a call begins
      | caller sends            | administration DELETE /v1/evacuations/north-a by budi |
      | other instances confirm | take back north-a, evacuate north-a                   |
    Then the call is refused with 503 and code 2706
    And availability zone "north-a" stays evacuated

  Scenario Outline: The target has left elsewhere and started again
    Guards against the leave of a start that the target didn't know of.
    Given target "t1" has incarnation 1
    When the event loop is blocked for 0.7 s, and in this time
      | caller sends            | <call>                    |
      | other instances confirm | incarnation 2 of target t1 |
    Then the call is refused with 503 and code 1202
    And no target is retired

    Examples:
      | call                                   |
      | platform POST /-/Instances.Deregister/t1    |
      | administration DELETE /v1/targets/t1   |

  Scenario: A target doesn't wait for the response to its leave
    Given target "t1" has incarnation 1
    When the event loop is blocked for 0.3 s, and in this time
      | caller sends and closes | platform POST /-/Instances.Deregister/t1 |
    Then target "t1" is retired

  Scenario Outline: A voter was removed and added again, or added and removed, elsewhere
    Guards against changes of the voters by callers that were served elsewhere.
    Given the names of the voters are <before>
    When the event loop is blocked for <blocked_s> s, and in this time
      | <sent> | <call> |
    Then the names of the voters stay <before>

    Examples:
      | before | blocked_s | sent                    | call                                |
      | a1, b1 | 0.3       | caller sends and closes | administration DELETE /v1/voters/b1 |
      | a1, b1 | 0.7       | caller sends            | administration DELETE /v1/voters/b1 |
      | a1     | 0.3       | caller sends and closes | administration POST /v1/voters {"id": "b1", "host": "127.0.0.1", "port": 2} |
      | a1     | 0.7       | caller sends            | administration POST /v1/voters {"id": "b1", "host": "127.0.0.1", "port": 2} |
