Feature: Requests go to the nearest target with free slots that neither fails nor leaves

  A request that goes to a failing, leaving or overloaded target while another one has
  free slots is lost or delayed for no reason. One that leaves its region for no reason
  pays the latency between regions.

  Background:
    Given an entry in "north-a" with full shares

  Scenario: Targets of the own region come first, others only when those have no free slot
    Given steering targets "n1" in "north-a" and "c1" in "centre-a" with 3 slots
    When 5 requests choose a target
    Then 3 went to "n1" and 2 went to "c1"

  Scenario Outline: A leaving or drained target gets no new requests
    Given steering targets "n1" in "north-a" and "n2" in "north-b" with 3 slots
    When <what> of "n1" is taken out of service
    And 3 requests choose a target
    Then 0 went to "n1" and 3 went to "n2"

    Examples:
      | what                  |
      | the target            |
      | the availability zone |
      | the announcement      |

  Scenario: A target that shed a request gets none until its back-off has passed
    Given steering targets "n1" in "north-a" and "n2" in "north-b" with 9 slots
    When a request to "n1" ends as "shed"
    And 5 requests choose a target
    Then 0 went to "n1" and 5 went to "n2"
    When 0.1 seconds pass for the entry
    And 5 requests choose a target
    Then some went to "n1"

  Scenario: A non-idempotent request is not sent to a suspect target as a probe

    Probe requests to a suspect target often fail, and a non-idempotent request can't be
    repeated at another target.

    Given steering targets "n1" in "north-a" and "c1" in "centre-a" with 9 slots
    When 2 requests to "n1" end as "timed_out"
    And 1 seconds pass for the entry
    And a non-idempotent request chooses a target
    Then 0 went to "n1" and 1 went to "c1"
    When an idempotent request chooses a target
    Then 1 went to "n1" and 1 went to "c1"

  Scenario: Failures at all targets do not keep probe requests from any of them

    If every target is suspect and one gets no probe requests, its recovery would not be
    noticed.

    Given steering targets "n1" in "north-a" and "n2" in "north-b" with 9 slots
    When 20 requests to "n1" end as "connect_failed"
    And 20 requests to "n2" end as "connect_failed"
    Then each target gets a probe request within 9 seconds

  Scenario: A new target is ramped up to its full slots over the time set in the contract
    Given a contract that ramps up cold targets over 10 seconds
    And steering targets "n1" in "north-a" and "n2" in "north-b" with 9 slots
    When 60 seconds pass for the entry
    And steering target "n3" in "north-a" with 10 slots is new
    And 30 requests choose a target
    Then 1 went to "n3"
    When 5 seconds pass for the entry
    And 30 requests choose a target
    Then 5 went to "n3"

  Scenario: The targets of a region are ramped up again after a drain
    Given a contract that ramps up cold targets over 10 seconds
    And steering targets "n1" in "north-a" and "c1" in "centre-a" with 10 slots
    When the region of "n1" is taken out of service
    And 1 requests choose a target
    And 30 seconds pass for the entry
    And the drain ends
    And 4 requests choose a target
    Then 1 went to "n1" and 4 went to "c1"

  Scenario: A target that reports no load gets no more requests than it has slots

    The own count of requests in flight must hold, whatever the target reports.

    Given a steering target "n1" in "north-a" with 3 slots that reports 0 in flight
    When 5 requests choose a target
    Then 3 went to "n1"
    And 2 were refused as "targets_busy" with a retry-after time

  Scenario: A target that reports itself full still gets requests

    A report is older than the own count, so alone it must not take a target out of use.

    Given a steering target "n1" in "north-a" with 3 slots that reports 3 in flight
    When 2 requests choose a target
    Then 2 went to "n1"

  Scenario: A target gets no more connections than the contract allows
    Given a contract that allows 2 connections to a target
    And steering targets "n1" in "north-a" and "n2" in "north-b" with 9 slots
    When 6 requests choose a target
    Then 2 went to "n1" and 2 went to "n2"

  Scenario: Idempotent requests leave the reserved share of a limit to non-idempotent ones
    Given a contract with a region capacity of 40 and no shift
    And steering targets "n1" in "north-a" and "n2" in "north-b" with 100 slots
    When 60 idempotent requests choose a target
    Then the last refusal is "room_kept_for_commitments"
    When a non-idempotent request chooses a target
    Then the last request was not refused
