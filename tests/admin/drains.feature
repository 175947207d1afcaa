Feature: Drains through the administration API

  Background:
    Given an administration API

  Scenario: A drain is made, shown with its progress and removed
    Given the contract of "rackhaven" is in force at the administration API
    When PUT /v1/drains/availability-zone/north-a is changed as "drain-1" on base 0
    Then the administration API answers 200
    When GET /v1/drains/availability_zone/north-a is asked by the bootstrap administrator
    Then the answer's "in_force_on" is ['a1', 'b1', 'c1']
    And the answer's "in_flight" is 0
    And the answer's "cached_lookups_s" is 5.0
    And the answer's "complete" is False
    When 4.9 seconds pass at the administration API
    And GET /v1/drains/availability_zone/north-a is asked by the bootstrap administrator
    Then the answer's "complete" is False
    When 0.1 seconds pass at the administration API
    And GET /v1/drains/availability_zone/north-a is asked by the bootstrap administrator
    Then the answer's "cached_lookups_s" is 0.0
    And the answer's "complete" is True
    When DELETE /v1/drains/availability-zone/north-a is changed as "drain-2" on base 1
    Then the administration API answers 200
    When GET /v1/drains/availability-zone/north-a is asked by the bootstrap administrator
    Then the administration API refuses with 404 and code 3014 "drain_unknown"

  Scenario: Reports from before the drain don't show that nothing is in flight
    When PUT /v1/drains/instance/a1 is changed as "drain-1" on base 0
    And GET /v1/drains/instance/a1 is asked by the bootstrap administrator
    Then the answer's "complete" is False
    When 2 seconds pass at the administration API
    And the last report of every instance is 2.5 seconds old
    And GET /v1/drains/instance/a1 is asked by the bootstrap administrator
    Then the answer's "complete" is False
    When the last report of every instance is 1.5 seconds old
    And GET /v1/drains/instance/a1 is asked by the bootstrap administrator
    Then the answer's "complete" is True

  Scenario: A drain that an instance lacks is not complete
    Given instance "b1" reports revision 0
    When PUT /v1/drains/instance/a1 is changed as "drain-1" on base 0
    And GET /v1/drains/instance/a1 is asked by the bootstrap administrator
    Then the answer's "pending_on" is ['b1']
    And the answer's "complete" is False

  Scenario: A drained instance with requests in flight is not complete
    Given every instance reports 3 requests in flight
    When PUT /v1/drains/instance/a1 is changed as "drain-1" on base 0
    And GET /v1/drains/instance/a1 is asked by the bootstrap administrator
    Then the answer's "in_flight" is 3
    And the answer's "complete" is False

  Scenario: The status names the revision of each instance
    Given instance "b1" reports revision 0
    When PUT /v1/drains/instance/a1 is changed as "drain-1" on base 0
    And GET /v1/instances is asked by the bootstrap administrator
    Then the answer's "newest_revision" is 1
    And the answer's "instances.0.holds_newest" is True
    And the answer's "instances.1.holds_newest" is False
