Feature: Stand-in target
  Tests of failures are worth no more than the stand-ins that cause them.

  Background:
    Given an entry that records announcements
    And a stand-in target with 2 slots

  Scenario: It announces itself, says that it is leaving and leaves
    Then the entry hears from the target with a load
    When the target process is asked to stop during a request
    Then the request is answered in whole
    And the entry hears that the target is leaving before it leaves
    And the target process exits with 0

  Scenario: It sheds what goes over its slots and counts doubles
    When 3 requests of 300 ms are sent to the target at once
    Then 2 of them are answered in whole and 1 is shed as not run
    When the request "twice" is sent to the target 2 times
    Then the target's record shows "twice" run 2 times

  Scenario Outline: It breaks answers so that the caller can tell
    When the target is told to <misbehave> once
    Then the request "broken" to the target gets no whole answer
    And the target's record shows "broken" run 1 times
    And the request "after" is answered in whole

    Examples:
      | misbehave                        |
      | {"close_after_read": true}       |
      | {"truncate": "length"}           |
      | {"truncate": "chunked"}          |
      | {"error_status": 500}            |

  Scenario: Its open connections go silent while new ones work
    Given a kept connection to the target that has carried a request
    When the target's open connections go silent
    Then the kept connection carries no further request
    And the request "after" is answered in whole

  Scenario: It lies about its load, stops reporting and stops announcing
    When the target is told for good to {"load_lie": {"in_flight": 77}}
    Then the entry soon hears of 77 requests in flight
    When the target is told for good to {"report_load": false}
    Then the entry soon hears from the target without a load

  Scenario: Its record outlives its process
    When the request "kept" is sent to the target 1 times
    And the target process is killed
    Then the target's record shows "kept" run 1 times
