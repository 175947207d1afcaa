Feature: The nearest target that has room is chosen, and work leaves what fails or leaves

  Background:
    Given an entry in "north-a" with full shares

  Scenario: Its own region first, and the others only when that has no room
    Given steering targets "n1" in "north-a" and "c1" in "centre-a" with 3 slots
    When 5 requests choose a target
    Then 3 went to "n1" and 2 went to "c1"

  Scenario Outline: What is leaving or drained gets no new work
    Given steering targets "n1" in "north-a" and "n2" in "north-b" with 3 slots
    When <what> of "n1" is taken out of service
    And 3 requests choose a target
    Then 0 went to "n1" and 3 went to "n2"

    Examples:
      | what                  |
      | the target            |
      | the availability zone |
      | the announcement      |

  Scenario: A target that shed gets nothing until its back-off has passed
    Given steering targets "n1" in "north-a" and "n2" in "north-b" with 9 slots
    When a request to "n1" ends as "shed"
    And 5 requests choose a target
    Then 0 went to "n1" and 5 went to "n2"
    When 0.1 seconds pass for the entry
    And 5 requests choose a target
    Then some went to "n1"

  Scenario: A request that may not be repeated does not try out a suspect target
    Given steering targets "n1" in "north-a" and "c1" in "centre-a" with 9 slots
    When 2 requests to "n1" end as "timed_out"
    And 1 seconds pass for the entry
    And a commitment chooses a target
    Then 0 went to "n1" and 1 went to "c1"
    When a check chooses a target
    Then 1 went to "n1" and 1 went to "c1"

  Scenario: Failures everywhere leave trials to every target
    Given steering targets "n1" in "north-a" and "n2" in "north-b" with 9 slots
    When 20 requests to "n1" end as "connect_failed"
    And 20 requests to "n2" end as "connect_failed"
    Then each target is tried again within 9 seconds

  Scenario: A cold target is brought to its full share in steps
    Given a contract that ramps cold targets over 10 seconds
    And steering targets "n1" in "north-a" and "n2" in "north-b" with 9 slots
    When 60 seconds pass for the entry
    And steering target "n3" in "north-a" with 10 slots is new
    And 30 requests choose a target
    Then 1 went to "n3"
    When 5 seconds pass for the entry
    And 30 requests choose a target
    Then 5 went to "n3"

  Scenario: A region that comes back from a drain is cold
    Given a contract that ramps cold targets over 10 seconds
    And steering targets "n1" in "north-a" and "c1" in "centre-a" with 10 slots
    When the region of "n1" is taken out of service
    And 1 requests choose a target
    And 30 seconds pass for the entry
    And the drain ends
    And 4 requests choose a target
    Then 1 went to "n1" and 4 went to "c1"

  Scenario: A target that reports itself idle gets no more than its slots
    Given a steering target "n1" in "north-a" with 3 slots that reports 0 in flight
    When 5 requests choose a target
    Then 3 went to "n1"
    And 2 were refused as "targets_busy" with a time to come back

  Scenario: A target that reports itself full is not emptied
    Given a steering target "n1" in "north-a" with 3 slots that reports 3 in flight
    When 2 requests choose a target
    Then 2 went to "n1"

  Scenario: No more connections than the contract allows are opened to a target
    Given a contract that allows 2 connections to a target
    And steering targets "n1" in "north-a" and "n2" in "north-b" with 9 slots
    When 6 requests choose a target
    Then 2 went to "n1" and 2 went to "n2"

  Scenario: Checks leave the last room to commitments
    Given a contract with a region capacity of 40 and no shift
    And steering targets "n1" in "north-a" and "n2" in "north-b" with 100 slots
    When 60 checks choose a target
    Then the last refusal is "room_kept_for_commitments"
    When a commitment chooses a target
    Then the last request was not refused
