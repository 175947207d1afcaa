Feature: Requests are authenticated by the keys of workspaces
  A target trusts the name of the workspace that it gets, and a key that reached a target
  could be used by whoever operates it.

  Scenario: Without workspaces everything passes as before
    Given a routed entry
    And a routed target "t1" that answers
    When a caller with the header "Authorization: Bearer secret" sends "/reads/a"
    Then the routed caller got status 200
    And "t1" got header "authorization" "Bearer secret"
    And "t1" got no header "mothshunt-workspace"

  Scenario Outline: The target gets the workspace's name and no key
    Given a routed entry with workspace "florist" with the key "secret"
    And a routed target "t1" that answers
    When a caller with the header "<header>" sends "<path>"
    Then the routed caller got status 200
    And "t1" got no header "authorization"
    And "t1" got <name>

    Examples:
      | path     | header                                                            | name                                          |
      | /reads/a | Authorization: Bearer secret                                      | header "mothshunt-workspace" "florist" |
      | /reads/a | authorization: bearer  secret                                     | header "mothshunt-workspace" "florist" |
      | /reads/a | Authorization: Bearer secret;Mothshunt-Workspace: other           | header "mothshunt-workspace" "florist" |
      | /reads/a | Authorization: Bearer secret;Connection: Mothshunt-Workspace      | header "mothshunt-workspace" "florist" |
      | /open/a  | Mothshunt-Workspace: florist                                      | no header "mothshunt-workspace"               |
      | /open/a  | Authorization: Basic c2VjcmV0                                     | no header "mothshunt-workspace"               |
      | /open/a  | Authorization: Bearer secret                                      | header "mothshunt-workspace" "florist" |

  Scenario Outline: A request without a valid key is rejected and reaches no target
    Given a routed entry with workspace "florist" with the key "secret"
    And a routed target "t1" that answers
    When a caller with the header "<header>" sends "<path>"
    Then the routed caller got status <status> and code <code>
    And the response contains no key
    And "t1" got no request

    Examples:
      | path       | header                                                       | status | code |
      | /reads/a   | X: y                                                         | 401    | 2808 |
      | /reads/a   | Authorization: Basic c2VjcmV0                                | 401    | 2808 |
      | /reads/a   | Authorization: Bearer Secret                                 | 401    | 2809 |
      | /reads/a   | Authorization: Bearer                                        | 401    | 2809 |
      | /reads/a   | Authorization: Bearer secret;Authorization: Bearer secret    | 401    | 2809 |
      | /open/a    | Authorization: Bearer wrong                                  | 401    | 2809 |
      | /nowhere/a | Authorization: Bearer wrong                                  | 404    | 2802 |
      | /far/a     | Authorization: Bearer secret                                 | 503    | 2811 |

  Scenario: A key of more than 255 characters is unknown
    Given a routed entry with workspace "florist" with the key "secret"
    When a caller with a key of 256 characters sends "/reads/a"
    Then the routed caller got status 401 and code 2809

  Scenario: An unknown key is not rejected for good while the configuration may be old
    The key may have been added in the meantime.
    Given a routed entry with workspace "florist" with the key "secret"
    And a routed target "t1" that answers
    And the routed entry is not sure that its configuration is current
    When a caller with the header "Authorization: Bearer new" sends "/reads/a"
    Then the routed caller got status 503 and code 2810
    And the routed caller got a Retry-After of at most 2.5 s
    When a caller with the header "Authorization: Bearer secret" sends "/reads/a"
    Then the routed caller got status 200

  Scenario: A removed key is rejected on an open connection
    The key is looked up for each request, so no connection keeps a workspace.
    Given a routed entry with workspace "florist" with the key "secret"
    And a routed target "t1" that answers
    Then on one connection a request with the key "secret" is answered 200, and 401 after the key is removed

  Scenario Outline: Home regions of workspace and route both bind
    Then home regions "<route>" of the route and "<workspace>" of the workspace allow "<both>"

    Examples:
      | route | workspace | both |
      | all   | all       | all  |
      | a b   | all       | a b  |
      | all   | b c       | b c  |
      | a b   | b c       | b    |

  Scenario: The priority of the workspace takes precedence over the route's
    Then a workspace of priority 0 makes a request of a route of priority 1 rank 0
    And a workspace without a priority makes a request of a route of priority 1 rank 1

  Scenario: Rejections are logged at a bounded rate, with a digest and without the key
    A caller that repeats a wrong key must not fill the log, and its key may be right
    elsewhere.
    Given a routed entry with workspace "florist" with the key "secret"
    When 30 requests with the key "wrong" are rejected
    Then at most 8 lines "rejected for its key" a second have the digest of "wrong"
    And no line contains "wrong"

  Scenario: Requests are counted by workspace
    Given a routed entry with workspace "florist" with the key "secret"
    And a routed target "t1" that answers
    When a caller with the header "Authorization: Bearer secret" sends "/reads/a"
    And a caller with the header "Authorization: Bearer wrong" sends "/reads/a"
    Then the metrics have 1 of mothshunt_workspace_admitted_total for "florist"
    And the metrics have 1 of mothshunt_workspace_rejected_total for "(none)"

  Scenario: Metrics name the largest 20 workspaces and sum up the others
    A series for each of 1,000 workspaces at each of 80 instances would overload a
    monitoring system.
    When each of 1000 workspaces has as many requests as its number
    Then the metrics name workspaces 981 to 1000 and sum up 980 others

  Scenario: Counts of workspaces that come and go stay bounded
    When each of 10000 workspaces has as many requests as its number
    Then at most 4096 workspaces are counted one by one and no request is lost
