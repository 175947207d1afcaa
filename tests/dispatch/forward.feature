Feature: A request reaches a target, and its whole answer the caller

  Scenario: A read is answered and its connection used again
    Given a dispatch entry
    And a raw target "t1" that answers
    When a dispatch caller sends GET "/orders/7?full=1"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/orders/8"
    Then the dispatch caller got status 200 and "t1 /orders/8"
    And target "t1" was reached 2 times
    And target "t1" saw 1 connections
    And the outcomes were "t1 answered, t1 answered"

  Scenario: A large answer is streamed whole
    Given a dispatch entry
    And a raw target "t1" that sends a large answer
    When a dispatch caller sends GET "/orders"
    Then the dispatch caller got 300000 bytes

  Scenario: A large request body is streamed
    Given a dispatch entry
    And a raw target "t1" that answers
    When a dispatch caller uploads 3000000 bytes with POST "/orders"
    Then the dispatch caller got status 200 and "t1 /orders"

  Scenario: The caller's deadline is capped and passed on
    Given a dispatch entry with a request timeout of 900 ms
    And a raw target "t1" that answers
    When a dispatch caller adds Mothshunt-Deadline-Ms "60000" to GET "/a"
    Then target "t1" was given at most 900 ms
    When a dispatch caller adds Mothshunt-Deadline-Ms "300" to GET "/a"
    Then target "t1" was given at most 300 ms

  Scenario: A caller that leaves cancels the attempt and closes its connection
    Given a dispatch entry
    And a raw target "t1" that never answers
    When a dispatch caller leaves 150 ms after GET "/a"
    Then target "t1" lost its connection
    And the outcomes were "t1 cancelled"

  Scenario: A streamed body goes to another target when no connection could be opened
    Given a dispatch entry
    And a raw target "t1" whose port is closed
    And a raw target "t2" that answers
    When a dispatch caller streams 200000 bytes with POST "/orders"
    Then the dispatch caller got status 200 and "t2 /orders"
    And target "t2" got 200000 bytes

  Scenario: A caller that breaks its body off is not held against the target
    Given a dispatch entry
    And a raw target "t1" that answers
    When a dispatch caller breaks off a streamed body
    Then the raw answer has code 2007
    And the outcomes were "t1 cancelled"

  Scenario: A request has a name in the logs of the target and in refusals
    Given a dispatch entry
    And a raw target "t1" that closes after reading
    When a dispatch caller adds Mothshunt-Request-Id "r-17" to POST "/orders"
    Then target "t1" was told the request id "r-17"
    And the dispatch caller was told the request id "r-17"
    When a dispatch caller adds Mothshunt-Request-Id "not an id" to POST "/orders"
    Then target "t1" was told another request id than "not an id"
