Feature: Requests are held while an entry instance starts, and limited while it leaves

  If all instances start at the same moment, callers reach entry instances that don't
  serve yet. Without holding, a refused caller retries once and is refused again.

  Scenario: Requests that arrive shortly before the entry instance serves are answered
    Given a routed entry that is not ready
    And a routed target "t1" that answers
    When 4 routed callers with 1500 ms left send requests in the 400 ms before the entry serves
    Then the routed caller got status 200 each time
    And no target got a deadline header of more than the time left

  Scenario: A request is held for a third of its time at most, so that the caller can retry
    Given a routed entry that is not ready
    When a routed caller with 600 ms left sends GET "/reads/a"
    Then the routed caller got status 503
    And the routed caller got a Retry-After of at most 2 s
    And the last routed answer took between 150 and 350 ms

  Scenario: No request is held beyond the expected start of serving
    Given a routed entry that is not ready
    When a routed caller without a deadline sends GET "/reads/a"
    Then the routed caller got status 503
    And the last routed answer took between 1000 and 2300 ms

  Scenario: An entry instance whose start takes longer than expected refuses at once

    This happens when no majority of the control instances is reachable for many seconds.

    Given a routed entry that is not ready
    When it has been starting for 3 s
    And a routed caller with 1500 ms left sends GET "/reads/a"
    Then the routed caller got status 503
    And the routed caller got a Retry-After of at most 2 s
    And the last routed answer took between 0 and 100 ms

  Scenario: Held requests are refused when the instance stops before it has served
    Given a routed entry that is not ready
    When it stops 100 ms after a routed caller with 1500 ms left sent a request
    Then the routed caller got status 503
    And the last routed answer took between 50 and 300 ms

  Scenario: The number of held requests is limited, to bound the memory that they take
    Given a routed entry that is not ready
    When 1000 requests are held
    Then one more is refused at once

  Scenario: A leaving instance serves callers that looked it up earlier
    Given a routed entry
    And a routed target "t1" that answers
    When it leaves within 1 s while 20 routed callers with 300 ms left send requests in the first 400 ms
    Then the routed caller got status 200 each time

  Scenario: A leaving instance refuses requests that it may not be able to finish

    In a planned stop under load, requests that take longer than the stop are cut off.

    Given a routed entry
    And a routed target "t1" that answers after 1.4 s
    When it leaves within 1 s while 8 routed callers with 1500 ms left send requests in the first 400 ms
    Then the routed caller got status 503 each time
    And no request reached "t1"

  Scenario Outline: Requests that a leaving instance admits
    Then an entry that ends in <ends> s admits a request with <left> s left: <takes>

    Examples: a response may come shortly after the deadline of the request
      | ends | left | takes |
      | 5.6  | 1.2  | yes   |
      | 1.2  | 1.2  | no    |
      | 0.5  | 0.3  | yes   |
      | 5.6  | 6.0  | no    |
