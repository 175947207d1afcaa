Feature: Callers get complete responses and never take a truncated one for complete

  Faulty targets truncate responses, or send further bytes after them.

  Scenario Outline: A truncated response never looks complete
    Given a routed entry
    And a routed target "t1" that <breaks off>
    When a routed caller sends <method> "<path>"
    Then the routed caller got no complete successful response

    Examples: idempotent and non-idempotent requests
      | breaks off                               | method | path      |
      | ends before the length of its answer     | GET    | /reads/a  |
      | ends before the length of its answer     | POST   | /orders/a |
      | ends before the length of a long answer  | GET    | /reads/a  |
      | ends before the length of a long answer  | POST   | /orders/a |
      | ends before its last chunk               | GET    | /reads/a  |
      | ends before its last chunk               | POST   | /orders/a |
      | sends a chunk without a length           | GET    | /reads/a  |
      | sends a chunk without a length           | POST   | /orders/a |
      | sends another answer in place of a chunk | GET    | /reads/a  |
      | sends another answer in place of a chunk | POST   | /orders/a |

  Scenario Outline: Bytes after a response don't invalidate it
    Given a routed entry
    And a routed target "t1" that <answers>
    When a routed caller sends <method> "<path>" for each of 8 objects
    Then the routed caller got status 200 each time
    And each response carries the id of its own request

    Examples: after a length, after chunks, and a duplicate response
      | answers                                      | method | path      |
      | sends bytes of no protocol after its answer  | GET    | /reads/a  |
      | sends bytes of no protocol after its answer  | POST   | /orders/a |
      | sends bytes of no protocol after its chunks  | POST   | /orders/a |
      | sends its answer twice in one piece          | POST   | /orders/a |

  Scenario: A refusal that is sent again is not taken for the answer to the retry
    Guards against orders that ran and were reported as not run, or ran at two targets: a
    refusal of the first attempt, sent again, carries the id of the retry too.
    Given a routed entry
    And a routed target "t1" that turns away, and once more before it runs the retry
    And a routed target "t2" that turns away, and once more before it runs the retry
    When a routed caller sends POST "/orders/a" for each of 60 objects
    Then no order that ran was reported as not run
    And no order ran twice

  Scenario Outline: A response that ends within its head never looks complete
    Guards against a response with status 200 and no body, or a part of it: each place in
    the head is tried.
    Given a routed entry
    And a routed target "t1" that <ends>
    When a routed caller sends <method> "<path>" for each of 120 objects
    Then no routed caller got a successful response

    Examples: ended and reset, idempotent and non-idempotent requests
      | ends                     | method | path      |
      | ends within the head     | GET    | /reads/a  |
      | ends within the head     | POST   | /orders/a |
      | is reset within the head | GET    | /reads/a  |
      | is reset within the head | POST   | /orders/a |

  Scenario: A read is retried at another target after a response that is not HTTP
    Given a routed entry
    And a routed target "t1" that answers 000
    And a routed target "t2" that answers
    When a routed caller sends GET "/reads/a" for each of 8 objects
    Then the routed caller got status 200 each time
    And "t1" got at least one request

  Scenario: An order is not sent again after a response that is not HTTP
    Given a routed entry
    And a routed target "t1" that answers 000
    And a routed target "t2" that answers 000
    When a routed caller sends POST "/orders/a"
    Then the routed caller got status 502
    And the targets got one request in total

  Scenario Outline: A caller that speaks HTTP/1.0 gets a response of unknown length
    Guards against a complete response that is reported as broken (502).
    Given a routed entry
    And a routed target "t1" that <answers>
    When a routed caller that speaks HTTP/1.0 sends <method> "<path>"
    Then the routed caller got status 200
    And the routed caller got the complete body
    And the connection of the routed caller was closed

    Examples:
      | answers                           | method | path      |
      | ends an answer with its connection | GET   | /reads/a  |
      | ends an answer with its connection | POST  | /orders/a |
      | sends an answer in chunks          | GET   | /reads/a  |
      | sends an answer in chunks          | POST  | /orders/a |

  Scenario Outline: A truncated response of unknown length is reset for HTTP/1.0
    Guards against a part of a response that looks complete, as the close of the
    connection is the only end that such a caller knows.
    Given a routed entry with a timeout of 300 ms
    And a routed target "t1" that <breaks off>
    When a routed caller that speaks HTTP/1.0 sends <method> "<path>"
    Then the connection of the routed caller was reset

    Examples:
      | breaks off                                 | method | path      |
      | is reset in an answer without a length     | GET    | /reads/a  |
      | is reset in an answer without a length     | POST   | /orders/a |
      | ends before its last chunk                 | GET    | /reads/a  |
      | ends before its last chunk                 | POST   | /orders/a |
      | falls silent in an answer without a length | GET    | /reads/a  |
      | falls silent in an answer without a length | POST   | /orders/a |
