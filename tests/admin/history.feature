Feature: History, rollback and the audit trail

  Background:
    Given an administration API
    And the contract of "rackhaven" was put as change "first"
    And the contract of "rackhaven" was put with shift cap 50 as change "second" on base 1

  Scenario: The history tells who changed what, newest first
    When GET /v1/contracts/rackhaven/history?values=true is asked by the bootstrap administrator
    Then the answer's "records.0.change_id" is "second"
    And the answer's "records.0.operator" is "bootstrap"
    And the answer's "records.0.value.shift.cap" is 50
    And the answer's "records.1.value.shift.cap" is 60
    When GET /v1/audit is asked by the bootstrap administrator
    Then the answer's "records.0.name" is "rackhaven"
    And the answer's "records.0.value" is None

  Scenario: A rollback is a new revision with the old value
    When POST /v1/contracts/rackhaven/rollback?revision=1 is changed as "back" on base 2
    Then the answer's "revision" is 3
    When GET /v1/contracts/rackhaven is asked by the bootstrap administrator
    Then the answer's "revision" is 3
    And the answer's "contract.shift.cap" is 60
    When GET /v1/audit is asked by the bootstrap administrator
    Then the answer's "records.0.summary" is "back to revision 1"

  Scenario: A rollback sent again later is the same change
    When POST /v1/contracts/rackhaven/rollback?revision=1 is changed as "back" on base 2
    And the contract of "rackhaven" is put as change "third" on base 3
    And POST /v1/contracts/rackhaven/rollback?revision=1 is changed as "back" on base 2
    Then the answer's "revision" is 3
    And the answer's "repeated" is True
    And 4 changes were accepted by the administration API

  Scenario: A change id that was used for another rollback is refused
    When POST /v1/contracts/rackhaven/rollback?revision=1 is changed as "back" on base 2
    And POST /v1/contracts/rackhaven/rollback?revision=2 is changed as "back" on base 2
    Then the administration API refuses with 422 and code 3010 "change_refused"

  Scenario: A rollback to a revision that is not in the history is refused
    When POST /v1/contracts/rackhaven/rollback?revision=9 is changed as "back" on base 2
    Then the administration API refuses with 404 and code 3015 "revision_unknown"

  Scenario: A rollback on an old base is a conflict
    When POST /v1/contracts/rackhaven/rollback?revision=1 is changed as "back" on base 1
    Then the administration API refuses with 409 and code 3009 "change_conflict"
    And the answer's "winner.change_id" is "second"
    When GET /v1/changes/back is asked by the bootstrap administrator
    Then the answer's "status" is "conflict"
    And the answer's "change_id" is "back"
    And the answer's "winner.change_id" is "second"

  Scenario: A change id that was used for another change is refused
    When POST /v1/contracts/rackhaven/rollback?revision=1 is changed as "back" on base 2
    And the contract of "sleman" is put as change "back" on base 0
    Then the administration API refuses with 422 and code 3010 "change_refused"

  Scenario: A diff shows what a contract would change and changes nothing
    When the contract of "rackhaven" is posted to /v1/contracts/rackhaven/diff
    Then the answer's "lines.0.path" is "/shift/cap"
    And the answer's "lines.0.before" is 50
    And the answer's "lines.0.after" is 60
    And the answer's "revision" is 2
    And 2 changes were accepted by the administration API
