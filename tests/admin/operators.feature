Feature: Operators through the administration API

  Background:
    Given an administration API
    And the contract of "rackhaven" was put as change "first"
    And the contract of "sleman" was put as change "second"
    And the operator "budi" was made with the grants "rackhaven=change, sleman=read"

  Scenario: An operator sees and changes what its roles allow
    When GET /v1/contracts/rackhaven is asked by operator "budi"
    Then the administration API answers 200
    When the contract of "rackhaven" is put as change "third" on base 1 by operator "budi"
    Then the administration API answers 200
    And change 4 was made by "budi"

  Scenario Outline: What an operator's roles don't allow is refused and counted
    When <method> <path> is asked by operator "budi"
    Then the administration API refuses with 403 and code 3203 "role_insufficient"
    And 1 administration refusals are counted as "role_insufficient"

    Examples:
      | method | path                                                             |
      | PUT    | /v1/contracts/sleman?change_id=x&base_revision=2                 |
      | POST   | /v1/contracts/sleman/rollback?change_id=x&base_revision=2&revision=2 |
      | DELETE | /v1/contracts/rackhaven?change_id=x&base_revision=1              |
      | GET    | /v1/contracts/other                                              |
      | GET    | /v1/operators                                                    |
      | PUT    | /v1/operators/budi?change_id=x&base_revision=3                   |
      | DELETE | /v1/operators/budi?change_id=x&base_revision=3                   |
      | POST   | /v1/voters                                                       |
      | DELETE | /v1/voters/a1                                                    |
      | PUT    | /v1/drains/region/north?change_id=x&base_revision=0              |
      | PUT    | /v1/drains/target/unknown?change_id=x&base_revision=0            |

  Scenario: Lists hold what an operator may read
    Given the operator "citra" was made with the grants "sleman=read"
    When GET /v1/contracts is asked by operator "citra"
    Then the answer's "contracts" has 1 entries
    When GET /v1/audit is asked by operator "citra"
    Then the answer's "records" has 1 entries
    And the answer's "records.0.name" is "sleman"

  Scenario: A target of the operator's customer may be drained
    Given the target "t1" of "rackhaven" is known
    When PUT /v1/drains/target/t1?change_id=x&base_revision=0 is asked by operator "budi"
    Then the administration API answers 200
    When GET /v1/drains/target/t1 is asked by operator "budi"
    Then the answer's "in_flight" is 2
    And the answer's "complete" is False
    Given the target "t1" of "rackhaven" has 0 requests in flight
    When 2.9 seconds pass at the administration API
    And GET /v1/drains/target/t1 is asked by operator "budi"
    Then the answer's "complete" is False
    When 0.1 seconds pass at the administration API
    And GET /v1/drains/target/t1 is asked by operator "budi"
    Then the answer's "complete" is True

  Scenario: A target that reports no load is never said to be drained
    Given the target "t1" of "rackhaven" is known without a report
    When PUT /v1/drains/target/t1?change_id=x&base_revision=0 is asked by operator "budi"
    And GET /v1/drains/target/t1 is asked by operator "budi"
    And 60 seconds pass at the administration API
    And GET /v1/drains/target/t1 is asked by operator "budi"
    Then the answer's "in_flight" is None
    And the answer's "complete" is False

  Scenario: A new operator may read at once
    When GET /v1/contracts is asked by operator "budi"
    Given the operator "citra" was made with the grants "sleman=read"
    When GET /v1/contracts is asked by operator "citra"
    Then the administration API answers 200

  Scenario: Tokens are kept as hashes and never shown again
    Then the token of "budi" is not in the replicated configuration
    When GET /v1/audit?values=true is asked by the bootstrap administrator
    Then the answer's "records.0.name" is "budi"
    And the answer does not hold "token_sha256"

  Scenario: A new token ends the old one
    When the operator "budi" is given a new token on base 3
    Then the administration API answers 200
    When DELETE /v1/contracts/rackhaven?change_id=x&base_revision=1 is asked with the old token of "budi"
    Then the administration API refuses with 401 and code 3202 "token_unknown"
    When DELETE /v1/contracts/rackhaven?change_id=x&base_revision=1 is asked by operator "budi"
    Then the administration API refuses with 403 and code 3203 "role_insufficient"

  Scenario: A removed operator may change nothing from then on
    When DELETE /v1/operators/budi is changed as "gone" on base 3
    Then the administration API answers 200
    When DELETE /v1/operators/budi is changed as "gone" on base 3
    Then the answer's "change.repeated" is True
    When the contract of "rackhaven" is put as change "third" on base 1 by operator "budi"
    Then the administration API refuses with 401 and code 3202 "token_unknown"

  Scenario: A change of an operator sent again shows no second token
    When the operator "dewi" is put as change "same" with the grants "*=read"
    Then the answer has a token
    When the operator "dewi" is put as change "same" with the grants "*=read"
    Then the answer's "change.repeated" is True
    And the answer's "token" is None

  Scenario: A change id that was used for another change of an operator is refused
    When the operator "dewi" is put as change "same" with the grants "*=read"
    And the operator "dewi" is put as change "same" with the grants "*=administer"
    Then the administration API refuses with 422 and code 3010 "change_refused"
    When DELETE /v1/operators/dewi is changed as "same" on base 4
    Then the administration API refuses with 422 and code 3010 "change_refused"

  Scenario: The last administrator stays
    Given the operator "ada" was made with the grants "*=administer"
    When DELETE /v1/operators/ada is changed as "gone" on base 4
    Then the administration API refuses with 409 and code 3204 "last_administrator"

  Scenario: The name of the bootstrap administrator is reserved
    When the operator "bootstrap" is put as change "x" with the grants "*=read"
    Then the administration API refuses with 422 and code 3206 "operator_invalid"

  Scenario: The state can be read without a majority, but nothing changed
    When GET /v1/instances is asked by operator "budi"
    Then the administration API answers 200
    Given the administration API has no majority
    When GET /v1/instances is asked by operator "budi"
    Then the administration API answers 200
    When the contract of "rackhaven" is put as change "third" on base 1 by operator "budi"
    Then the administration API refuses with 503 and code 4999 "no_majority"
