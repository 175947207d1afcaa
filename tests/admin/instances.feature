Feature: Removal of an instance that is gone for good

  Background:
    Given an administration API

  Scenario: A lost instance is removed, and sent again it is the same change
    Given the instance "b1" joined the replicated configuration
    And the instance "b1" is lost
    When DELETE /v1/instances/b1 is changed as "c1" on base 0
    Then the administration API answers 200
    When DELETE /v1/instances/b1 is changed as "c1" on base 0
    Then the administration API answers 200
    And the answer's "repeated" is True

  Scenario: A reachable instance keeps its record and its seat
    Given the instance "b1" joined the replicated configuration
    When DELETE /v1/instances/b1 is changed as "c1" on base 0
    Then the administration API refuses with 409 and code 3023 "instance_not_lost"

  Scenario: An instance that is not recorded
    When DELETE /v1/instances/x9 is changed as "c1" on base 0
    Then the administration API refuses with 404 and code 3022 "instance_unknown"
