Feature: Entry instances record the rate limits that targets name

  A target in need names in its responses how many requests a second it accepts from
  all entry instances together. Without a record of it, nothing tells afterwards whether
  a limit was known where too many requests came from.

  Scenario Outline: The newest statement of a target counts
    Given a routed entry
    And the log lines are recorded
    And a routed target "t1" that <states>
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then the known rate limit of "t1" is <limit> a second
    When "t1" answers from now on
    And 0.8 s pass at the routed entry
    And a routed caller sends POST "/orders/a" with body "some bytes"
    Then "t1" has no known rate limit
    And the logged limits of "t1" are "None to 5.7, 5.7 to None"

    Examples: successful responses and errors
      | states                              | limit |
      | names a rate limit of 5.7           | 5.7   |
      | fails and names a rate limit of 5.7 | 5.7   |

  Scenario Outline: A rate limit that can't be parsed leaves the last one in force
    Given a routed entry
    And the log lines are recorded
    And a routed target "t1" that names a rate limit of 5.7
    When a routed caller sends POST "/orders/a" with body "some bytes"
    And "t1" <states> from now on
    And 0.8 s pass at the routed entry
    And a routed caller sends POST "/orders/a" with body "some bytes"
    Then the known rate limit of "t1" is 5.7 a second
    And the routed entry logged code 2807

    Examples:
      | states                              |
      | names an empty rate limit           |
      | names a rate limit in words         |
      | names a negative rate limit         |
      | names a rate limit of nan           |
      | names a rate limit with an exponent |

  Scenario: The rate limit of another target at the same address is ignored
    Given a routed entry
    And a routed target "t1" that is another one that names a rate limit
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then "t1" has no known rate limit

  Scenario: A rate limit ends when the target restarts
    Given a routed entry
    And a routed target "t1" that names a rate limit of 5.7
    When a routed caller sends POST "/orders/a" with body "some bytes"
    And "t1" restarts
    Then "t1" has no known rate limit

  Scenario: Requests to targets that name a rate limit are counted
    Given a routed entry
    And a routed target "t1" that names a rate limit of 5.7
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then 0 requests to limited targets are counted
    When 0.8 s pass at the routed entry
    And a routed caller sends POST "/orders/a" with body "some bytes"
    Then 1 requests to limited targets are counted
    And the log of limited targets names "t1" with 1 requests
