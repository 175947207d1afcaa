Feature: The quota of a workspace decides before anything is sent

  Scenario Outline: A request over the quota runs at no target
    Given a routed entry
    And a routed target "t1" that answers
    And a workspace of all callers with <tokens> tokens left
    When a routed caller sends <method> "<path>" with body "some bytes"
    And another routed caller sends <method> "<path>" with body "some bytes"
    Then the callers got status <first> and then <second>
    And the targets got <sent> requests in total

    Examples:
      | tokens | method | path      | first | second | sent |
      | 1      | POST   | /orders/a | 200   | 429    | 1    |
      | 0      | GET    | /reads/a  | 429   | 429    | 0    |

  # Guards against the failure that requests that no target took use up the quota.
  Scenario: The token of a request that no target took serves the next one
    Given a routed entry
    And a workspace of all callers with 1 tokens left
    When a routed caller sends GET "/reads/a" with body "some bytes"
    And another routed caller sends GET "/reads/a" with body "some bytes"
    Then the callers got status 503 and then 503
