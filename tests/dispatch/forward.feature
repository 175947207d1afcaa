Feature: A request is forwarded to a target, and its complete response to the caller

  Guards against truncated bodies, wrong deadlines and wrong outcomes on the way between
  the caller and the target.

  Scenario: A GET is answered and its connection is reused

    Opening a connection for each request would be slow.

    Given a dispatch entry
    And a raw target "t1" that answers
    When a dispatch caller sends GET "/orders/7?full=1"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/orders/8"
    Then the dispatch caller got status 200 and "t1 /orders/8"
    And target "t1" was reached 2 times
    And target "t1" saw 1 connections
    And the outcomes were "t1 answered, t1 answered"

  Scenario: A large response is streamed to its end

    It is longer than the entry buffers.

    Given a dispatch entry
    And a raw target "t1" that sends a large answer
    When a dispatch caller sends GET "/orders"
    Then the dispatch caller got 300000 bytes

  Scenario: A large request body is streamed

    It is longer than the entry buffers.

    Given a dispatch entry
    And a raw target "t1" that answers
    When a dispatch caller uploads 3000000 bytes with POST "/orders"
    Then the dispatch caller got status 200 and "t1 /orders"

  Scenario: The caller's deadline is limited by the contract and sent to the target

    The target must not work on a request for longer than the caller waits.

    Given a dispatch entry with a request timeout of 900 ms
    And a raw target "t1" that answers
    When a dispatch caller adds Mothshunt-Deadline-Ms "60000" to GET "/a"
    Then target "t1" got a deadline of at most 900 ms
    When a dispatch caller adds Mothshunt-Deadline-Ms "300" to GET "/a"
    Then target "t1" got a deadline of at most 300 ms

  Scenario: A caller that disconnects cancels the attempt and closes its connection

    Otherwise the target would go on working for a caller that is gone, and the attempt
    would keep its permit.

    Given a dispatch entry
    And a raw target "t1" that never answers
    When a dispatch caller leaves 150 ms after GET "/a"
    Then the connection to target "t1" was closed
    And the outcomes were "t1 cancelled"

  Scenario: A streamed body goes to another target if no connection could be opened

    No part of the body has been read yet, so it can still be sent in full.

    Given a dispatch entry
    And a raw target "t1" whose port is closed
    And a raw target "t2" that answers
    When a dispatch caller streams 200000 bytes with POST "/orders"
    Then the dispatch caller got status 200 and "t2 /orders"
    And target "t2" got 200000 bytes

  Scenario: A malformed body of the caller does not count as a failure of the target

    Otherwise a faulty caller could have a healthy target taken out of use.

    Given a dispatch entry
    And a raw target "t1" that answers
    When a dispatch caller streams a body with a malformed chunk
    Then the raw response has code 2007
    And the outcomes were "t1 cancelled"

  Scenario: The request id is sent to the target and in error responses

    It is needed to find a request in the logs. An invalid id is replaced.

    Given a dispatch entry
    And a raw target "t1" that closes after reading
    When a dispatch caller adds Mothshunt-Request-Id "r-17" to POST "/orders"
    Then target "t1" got the request id "r-17"
    And the dispatch caller got the request id "r-17"
    When a dispatch caller adds Mothshunt-Request-Id "not an id" to POST "/orders"
    Then target "t1" got a request id other than "not an id"
