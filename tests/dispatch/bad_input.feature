Feature: Invalid input gets an error response with a result code

  Guards against input that stops the entry, reaches a target, or is answered without a
  result code. After each invalid request the entry still serves others.

  Scenario Outline: Bytes that are not well-formed HTTP are refused

    The parser rejects the request before a handler sees it; the response must still have
    a result code and be counted.

    Given a dispatch entry
    When raw bytes <text> are sent to the dispatch entry
    Then the raw response has code 2001
    And the dispatch counter mothshunt_refusals_total with reason "malformed_http" is 1
    And the dispatch entry still answers

    Examples:
      | text                                                                |
      | "nonsense\r\n\r\n"                                                  |
      | "GET /v1/lookup HTTP/1.1\r\nbad header\r\n\r\n"                     |
      | "GET /v1/lookup HTTP/9.9.9\r\n\r\n"                                 |
      | "POST /v1/lookup HTTP/1.1\r\nContent-Length: -5\r\n\r\n"            |
      | "POST /v1/lookup HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n" |

  Scenario: A header field that is too long is refused

    Without a limit a caller could fill the memory of the entry.

    Given a dispatch entry
    When a header field of 20000 bytes is sent to the dispatch entry
    Then the raw response has code 2001
    And the dispatch entry still answers

  Scenario: A body with malformed chunks is refused and not forwarded

    A request with an idempotency key is hashed as a whole; an incomplete body must not be
    claimed under the key or forwarded.

    Given a dispatch entry
    And a raw target "t1" that answers
    When malformed chunks are sent to the dispatch entry with an Idempotency-Key
    Then the raw response has code 2007
    And target "t1" was reached 0 times
    And the dispatch entry still answers

  Scenario Outline: Paths, customers and services that do not exist are refused

    Each of the three has its own result code.

    Given a dispatch entry
    When a dispatch caller reads the traffic path "<path>"
    Then the dispatch caller got code <code> with ran no
    And the dispatch entry still answers

    Examples:
      | path                                      | code |
      | /                                         | 2002 |
      | /v2/services/rackhaven/circuit-ordering/a | 2002 |
      | /v1/services/rackhaven                    | 2002 |
      | /v1/services/nobody/circuit-ordering/a    | 2003 |
      | /v1/services/rackhaven/nothing/a          | 2004 |

  Scenario Outline: A header field with an invalid value is refused

    An invalid deadline or key must not be ignored: the request would run with another
    deadline, or more than once.

    Given a dispatch entry
    And a raw target "t1" that answers
    When a dispatch caller adds <header> "<value>" to POST "/orders"
    Then the dispatch caller got code 2006 with ran no
    And target "t1" was reached 0 times

    Examples:
      | header                | value           |
      | Mothshunt-Deadline-Ms | soon            |
      | Mothshunt-Deadline-Ms | -5              |
      | Mothshunt-Deadline-Ms | 99999999999     |
      | Idempotency-Key       | with spaces     |

  Scenario: A request whose deadline has passed is refused and not forwarded

    The caller no longer waits for the response.

    Given a dispatch entry
    And a raw target "t1" that answers
    When a dispatch caller adds Mothshunt-Deadline-Ms "0" to POST "/orders"
    Then the dispatch caller got code 2010 with ran no
    And target "t1" was reached 0 times

  Scenario: A body too large to be hashed for its idempotency key is refused

    Without its hash, a repetition with another body under the same key would not be
    detected.

    Given a dispatch entry
    And a raw target "t1" that answers
    When a dispatch caller uploads 300000 bytes under key "k-1" with POST "/orders"
    Then the dispatch caller got code 2005 with ran no
    And target "t1" was reached 0 times

  Scenario: An exception in a handler gets an error response

    Without it the connection would break, and the caller could not tell why.

    Given a dispatch entry
    When a dispatch caller sends a request whose handler raises an exception
    Then the dispatch caller got code 2015 with ran unknown
    And the dispatch entry still answers
