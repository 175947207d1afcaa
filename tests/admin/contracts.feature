Feature: Contracts through the administration API

  Background:
    Given an administration API

  Scenario: A contract is put and read with its revision
    When the contract of "rackhaven" is put as change "first" on base 0
    Then the administration API answers 200
    And the answer's "status" is "accepted"
    And the answer's "operator" is "bootstrap"
    When GET /v1/contracts/rackhaven is asked by the bootstrap administrator
    Then the administration API answers 200
    And the answer has the entity tag "1"
    And the answer's "contract.shift.cap" is 60
    When GET /v1/contracts is asked by the bootstrap administrator
    Then the answer's "contracts.0.revision" is 1

  Scenario: A change sent twice is one change and gets the first answer
    When the contract of "rackhaven" is put as change "first" on base 0
    And the contract of "rackhaven" is put as change "first" on base 0
    Then the administration API answers 200
    And the answer's "repeated" is True
    And the answer's "revision" is 1
    And 1 changes were accepted by the administration API

  Scenario: Of two changes on one base the second is told of the first
    Given the contract of "rackhaven" was put as change "first"
    When the contract of "rackhaven" is put as change "second" on base 0
    Then the administration API refuses with 409 and code 3009 "change_conflict"
    And the answer's "winner.change_id" is "first"
    And the answer's "winner.operator" is "bootstrap"
    And the answer's "winner.revision" is 1
    And 1 administration refusals are counted as "change_conflict"

  Scenario: A check names regions in which there is no entry
    Given the instance "n1" is recorded as an entry only
    When the contract of "rackhaven" is posted to /v1/contracts/validate
    Then the answer's "regions_without_entry" is ['centre', 'south']

  Scenario: Every fault of a contract is named and nothing is changed
    When the contract of "rackhaven" is put with shift cap 141 and step 142
    Then the administration API refuses with 422 and code 3007 "contract_faulty"
    And the answer names the faults 3108 /shift/cap, 3109 /shift/step
    And 0 changes were accepted by the administration API

  Scenario: A contract that is no JSON text is refused
    When the contract of "rackhaven" is put as text "{"
    Then the administration API refuses with 422 and code 3007 "contract_faulty"
    And the answer's "faults.0.code" is 3101

  Scenario: Of very many faults the first thousand are named and all counted
    When the contract of "rackhaven" is put with 3000 links that name nothing
    Then the administration API refuses with 422 and code 3007 "contract_faulty"
    And the answer's "faults" has 1000 entries
    And the answer's detail begins with "9000 faults"

  Scenario: A contract of another customer than the path is refused
    When the contract of "sleman" is put to the path of "rackhaven"
    Then the administration API refuses with 422 and code 3008 "customer_mismatch"

  Scenario: Without a majority nothing is accepted
    Given the administration API has no majority
    When the contract of "rackhaven" is put as change "first" on base 0
    Then the administration API refuses with 503 and code 4999 "no_majority"
    And the answer's "ran" is "no"

  Scenario: A lost outcome is said to be unknown and can be asked for
    Given the answers of commits are lost on their way to the administration API
    When the contract of "rackhaven" is put as change "first" on base 0
    Then the administration API refuses with 504 and code 3011 "change_outcome_unknown"
    And the answer's "ran" is "unknown"
    And the answer's "change_id" is "first"
    When GET /v1/changes/first is asked by the bootstrap administrator
    Then the administration API answers 200
    And the answer's "status" is "accepted"
    When GET /v1/changes/second is asked by the bootstrap administrator
    Then the administration API refuses with 404 and code 3012 "change_unknown"

  Scenario: A contract is removed
    Given the contract of "rackhaven" was put as change "first"
    When DELETE /v1/contracts/rackhaven is changed as "second" on base 1
    Then the administration API answers 200
    When DELETE /v1/contracts/rackhaven is changed as "second" on base 1
    Then the answer's "repeated" is True
    When GET /v1/contracts/rackhaven is asked by the bootstrap administrator
    Then the administration API refuses with 404 and code 3013 "contract_unknown"
