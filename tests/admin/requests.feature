Feature: Requests to the administration API are checked

  Scenario Outline: Bad requests are refused by number and counted
    Given an administration API
    When <method> <path> is asked by the bootstrap administrator
    Then the administration API refuses with <status> and code <code> "<name>"
    And 1 administration refusals are counted as "<name>"

    Examples:
      | method | path                              | status | code | name                    |
      | GET    | /v1/nothing                       | 404    | 3002 | route_unknown           |
      | PATCH  | /v1/contracts                     | 405    | 3003 | method_not_allowed      |
      | PUT    | /v1/contracts/rackhaven           | 400    | 3006 | admin_parameter_invalid |
      | GET    | /v1/contracts?timeout_ms=1        | 400    | 3006 | admin_parameter_invalid |
      | GET    | /v1/contracts?unknown=1           | 400    | 3006 | admin_parameter_invalid |
      | GET    | /v1/contracts/..%2Fx              | 400    | 3006 | admin_parameter_invalid |
      | GET    | /v1/drains/rack/r1                | 400    | 3006 | admin_parameter_invalid |

  Scenario: A body above the limit is refused
    Given an administration API
    When POST /v1/contracts/validate is asked with a body of 1048577 bytes
    Then the administration API refuses with 413 and code 3004 "admin_body_too_large"

  Scenario: No token and a wrong token are refused and counted
    Given an administration API
    When GET /v1/contracts is asked without a token
    Then the administration API refuses with 401 and code 3201 "token_missing"
    When GET /v1/contracts is asked with the token "guessed"
    Then the administration API refuses with 401 and code 3202 "token_unknown"
    And 1 administration refusals are counted as "token_missing"
    And 1 administration refusals are counted as "token_unknown"

  Scenario: Many requests with guessed tokens share their reads
    Given an administration API whose reads take long
    When 20 requests with guessed tokens are sent at the same time
    Then all of them are refused with code 3202
    And the operators were read at most 3 times

  Scenario: Methods that the API lacks make no series of their own
    Given an administration API
    When PROPFIND /v1/contracts is asked without a token
    Then the requests are counted under the method "other"

  Scenario: The bootstrap administrator gets in without a majority
    Given an administration API
    And the administration API has no majority
    When GET /v1/instances is asked by the bootstrap administrator
    Then the administration API answers 200

  Scenario: An instance without the role control serves metrics and health only
    Given an administration API on an instance without the role control
    When GET /v1/contracts is asked without a token
    Then the administration API refuses with 421 and code 3001 "not_control"
    When GET /healthz is asked without a token
    Then the administration API answers 200
    When GET /readyz is asked without a token
    Then the answer's "ready" is True
    When GET /metrics is asked without a token
    Then the administration API answers 200
