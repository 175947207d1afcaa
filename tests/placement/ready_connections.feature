Feature: Connections are kept ready to frequently used targets of other regions

  Opening a connection to another region takes a noticeable round trip, for which the
  first request would wait. Guards against too few ready connections, and against so
  many that all entry instances together use up the connection limits of the targets.

  Scenario Outline: Only if soon used, and only as many as the targets accept
    Given 4 targets in the own region and 8 in others, of up to <limit> connections
    When callers send <per_s> requests a second to each of <entries> entry instances
    Then a connection is kept ready to <ready> targets, none in the own region

    Examples: used within 5 s, or not
      | limit | per_s | entries | ready |
      | 100   | 2.4   | 8       | 8     |
      | 100   | 2.3   | 8       | 0     |
      | 100   | 0     | 8       | 0     |

    Examples: at most a quarter of the connection limit of a target
      | limit | per_s | entries | ready |
      | 100   | 10    | 25      | 8     |
      | 100   | 10    | 26      | 0     |

  Scenario: None to an unreachable or a cold target
    Given 4 targets in the own region and 8 in others, of up to 100 connections
    When one target of another region is unreachable and another one cold
    And callers send 10 requests a second to each of 8 entry instances
    Then a connection is kept ready to 6 targets, none in the own region

  Scenario Outline: None if the delay of other regions is hardly noticeable
    Given 4 targets in the own region and 8 in others, of up to 100 connections
    When responses take 100 ms, <far> ms from other regions, with a target latency of 250 ms
    And callers send 10 requests a second to each of 8 entry instances
    Then a connection is kept ready to <ready> targets, none in the own region

    Examples:
      | far | ready |
      | 137 | 0     |
      | 138 | 8     |

  Scenario: None if no requests go to other regions
    Given 4 targets in the own region and 8 in others, of up to 100 connections
    When no object has global affinity any more
    And callers send 10 requests a second to each of 8 entry instances
    Then a connection is kept ready to 0 targets, none in the own region
