Feature: An idempotent request with a slow target is hedged at another target

  Targets run a request and lose its response, or lose power and never respond. Without
  a hedged attempt the caller would wait until its deadline and get no response.

  Scenario: A hedged attempt replaces a response that never comes
    Given a routed entry
    And a routed target "t1" that never answers
    And a routed target "t2" that answers
    When a routed caller sends GET "/reads/a" for each of 8 objects
    Then the routed caller got status 200 each time
    And no target got the same request twice

  Scenario: A non-idempotent request is not hedged
    Given a routed entry with a timeout of 1200 ms
    And a routed target "t1" that never answers
    And a routed target "t2" that never answers
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got status 504
    And the targets got one request in total

  Scenario: A late response is used, whichever of the two targets never responds
    Given a routed entry with a timeout of 4000 ms
    And a routed target "t1" that answers after 1.4 s
    And a routed target "t2" that never answers
    When a routed caller sends GET "/reads/a" for each of 4 objects
    Then the routed caller got status 200 each time
    And both targets got requests

  Scenario: An error response of one target does not end the attempt at the other
    Given a routed entry
    And a routed target "t1" that answers after 1.4 s
    And a routed target "t2" that answers 500
    When a routed caller sends GET "/reads/a" for each of 8 objects
    Then the routed caller got status 200 each time
    And both targets got requests

  # Guards against a request that is sent to three targets where its route allows two: an
  # attempt here, its hedged attempt, and one of the instance that it is relayed to.
  Scenario: Attempts that a relay has taken are not made here as well
    Given a routed entry
    And its requests are relayed as well after 100 ms
    And a routed target "t1" that answers after 1.4 s
    And a routed target "t2" that answers after 1.4 s
    When a routed caller sends GET "/reads/a"
    Then the routed caller got status 200
    And the targets got one request in total

  Scenario: No attempt is made here where a relay has taken them all
    Given a routed entry
    And its requests are relayed as well after 0 ms
    And a routed target "t1" that answers
    When a routed caller sends GET "/reads/a"
    Then the routed caller got status 503
    And the targets got no request

  Scenario: An empty retry budget prevents hedged attempts
    Given a routed entry whose retry budget is empty
    And a routed target "t1" that answers after 1.4 s
    And a routed target "t2" that answers after 1.4 s
    When a routed caller sends GET "/reads/a"
    Then the routed caller got status 200
    And the targets got one request in total

  Scenario: Both attempts are cancelled when the caller disconnects
    Given a routed entry
    And a routed target "t1" that answers after 1.4 s
    And a routed target "t2" that answers after 1.4 s
    When a routed caller leaves 1200 ms after GET "/reads/a"
    Then "t1" has no open connection within 500 ms
    And "t2" has no open connection within 500 ms

  Scenario: The connection of a cancelled attempt is reset

    On links that lose packets or are cut for seconds, the kernel goes on retransmitting
    after an orderly close, and the request could reach the target later.

    Given a routed entry with a timeout of 400 ms
    And a routed target that notes how its connections end
    When a routed caller sends GET "/reads/a"
    Then the routed caller got status 504
    And the connection to that target was reset
    When a routed caller sends POST "/orders/a"
    Then the routed caller got status 504
    And the connection to that target was reset

  Scenario: If two streamed responses arrive at once, the connection of the unused one is closed
    Then if two attempts end at once with streamed responses, one connection is closed

  Scenario Outline: Delay of a hedged attempt
    Then with a usual response time of <usual> ms and <time> ms to the deadline, the hedge delay is <delay> ms

    Examples: at least half of the time is left for the hedged attempt
      | usual | time | delay |
      | 240   | 1200 | 480   |
      | 20    | 1200 | 200   |
      | 600   | 1200 | 600   |
      | 5000  | 1000 | 500   |
