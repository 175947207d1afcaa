Feature: Bad input gets a numbered refusal and the entry goes on

  Scenario Outline: What is not HTTP is refused
    Given a dispatch entry
    When raw bytes <text> are sent to the dispatch entry
    Then the raw answer has code 2001
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
    Given a dispatch entry
    When a header field of 20000 bytes is sent to the dispatch entry
    Then the raw answer has code 2001
    And the dispatch entry still answers

  Scenario: A body with broken chunks is refused and not dispatched
    Given a dispatch entry
    And a raw target "t1" that answers
    When broken chunks are sent to the dispatch entry with an Idempotency-Key
    Then the raw answer has code 2007
    And target "t1" was reached 0 times
    And the dispatch entry still answers

  Scenario Outline: What the configuration does not know is refused
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

  Scenario Outline: A header field out of bounds is refused
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

  Scenario: A deadline that has passed is refused before dispatch
    Given a dispatch entry
    And a raw target "t1" that answers
    When a dispatch caller adds Mothshunt-Deadline-Ms "0" to POST "/orders"
    Then the dispatch caller got code 2010 with ran no
    And target "t1" was reached 0 times

  Scenario: A keyed body that is too large to hash is refused
    Given a dispatch entry
    And a raw target "t1" that answers
    When a dispatch caller uploads 300000 bytes under key "k-1" with POST "/orders"
    Then the dispatch caller got code 2005 with ran no
    And target "t1" was reached 0 times

  Scenario: A fault of a handler is refused and logged
    Given a dispatch entry
    When a dispatch caller meets a handler that fails
    Then the dispatch caller got code 2015 with ran unknown
    And the dispatch entry still answers
