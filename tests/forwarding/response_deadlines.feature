Feature: A response ends at the deadline of its request, also midway

  Targets fall silent while they send a response, or go on by a byte now and then. A
  caller that waits for the rest would wait for as long as the target lives.

  Scenario Outline: A response that its target doesn't complete in time is broken off
    Guards against callers that get neither the rest of a response nor its end.
    Given a routed entry with a timeout of 300 ms
    And a routed target "t1" that <stalls>
    When a routed caller times <method> "<path>"
    Then the last routed answer took between 250 and 800 ms
    And the routed caller got no complete successful response
    And "t1" has no open connection within 500 ms

    Examples: idempotent and non-idempotent requests
      | stalls                                         | method | path      |
      | falls silent in an answer without a length     | GET    | /reads/a  |
      | falls silent in an answer without a length     | POST   | /orders/a |
      | falls silent in an answer in chunks            | GET    | /reads/a  |
      | falls silent in an answer in chunks            | POST   | /orders/a |
      | falls silent in a long answer                  | GET    | /reads/a  |
      | falls silent in a long answer                  | POST   | /orders/a |
      | sends a byte of a long answer now and then     | GET    | /reads/a  |
      | sends a byte of a long answer now and then     | POST   | /orders/a |
      | sends a chunk of one byte now and then         | GET    | /reads/a  |
      | sends a chunk of one byte now and then         | POST   | /orders/a |
      | sends an answer without end                    | GET    | /reads/a  |
      | sends an answer without end                    | POST   | /orders/a |

  Scenario Outline: A short response that its target doesn't complete in time gets 504
    Given a routed entry with a timeout of 300 ms
    And a routed target "t1" that falls silent in a short answer
    When a routed caller times <method> "<path>"
    Then the last routed answer took between 250 and 800 ms
    And the routed caller got status 504

    Examples:
      | method | path      |
      | GET    | /reads/a  |
      | POST   | /orders/a |

  Scenario: A response that its target completes before the deadline is not broken off
    A silent target is no reason to end a response sooner.
    Given a routed entry with a timeout of 600 ms
    And a routed target "t1" that pauses for 400 ms in an answer without a length
    When a routed caller sends GET "/reads/a"
    Then the routed caller got the complete body

  Scenario Outline: A caller that reads late gets a response of a target that is in time
    Guards against a slow caller that is taken for a silent target.
    Given a routed entry with a timeout of 300 ms
    And a routed target "t1" that sends 8 MB at once
    When a routed caller sends <method> "<path>" and reads nothing for 800 ms
    Then the routed caller got a body of 8 MB

    Examples:
      | method | path      |
      | GET    | /reads/a  |
      | POST   | /orders/a |

  Scenario: A caller that reads slowly gets a response with a length after the deadline
    Given a routed entry with a timeout of 300 ms
    And a routed target "t1" that sends 8 MB at once
    When a routed caller reads "/reads/a" slowly, in 900 ms
    Then the routed caller got a body of 8 MB

  Scenario: A caller that reads late is not taken for a reason to wait for the target
    Given a routed entry with a timeout of 300 ms
    And a routed target "t1" that falls silent after 8 MB
    When a routed caller sends GET "/reads/a" and reads nothing for 500 ms
    Then the last routed answer took between 500 and 1500 ms
    And the routed caller got no complete successful response

  Scenario Outline: The connection for a caller that has left ends at the deadline
    Guards against connections of non-idempotent requests that stay open for good.
    Given a routed entry with a timeout of 300 ms
    And a routed target "t1" that <stalls>
    When a routed caller leaves 100 ms after POST "/orders/a"
    Then "t1" has no open connection within 600 ms

    Examples:
      | stalls                                     |
      | falls silent in an answer without a length |
      | falls silent in a long answer              |

  Scenario: A pipelined response is broken off as well
    Given a routed entry with a timeout of 300 ms
    And a routed target "t1" that answers the second request late and incompletely
    When a routed caller pipelines GET "/reads/a" and "/reads/b"
    Then the last routed answer took between 250 and 1000 ms
    And the first of the pipelined responses is complete, the second is not
