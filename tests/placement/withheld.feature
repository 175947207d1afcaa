Feature: Leave and pause notices of targets hold, whatever renewals arrive afterwards

  Guards against requests to a target that has announced that it leaves, or within a
  pause that it asked for. Such requests come about at releases, scale-downs and
  overload, if instances freeze, renewals are delayed and targets restart under the same
  name.

  Scenario: A newer incarnation that renewed itself before the response has sent it
    Given a target that announced at 10 s that it leaves
    Then its next incarnation, first renewed at 9.9 s, leaves as well
    And its next incarnation, first renewed at 10.1 s, gets nothing for 30 s
    And its next incarnation, first renewed at 15.1 s, is used

  Scenario: A new pause extends the present one but never shortens it
    Given a target that asked at 10 s for a pause of 5 s
    When it asks at 11 s for a pause of 1 s
    Then it pauses until 15 s
    When it asks at 14 s for a pause of 3 s
    Then it pauses until 17 s

  Scenario: The length of a pause is limited
    Given a target that asked at 10 s for a pause of 1e8 s
    Then it pauses until 310 s

  Scenario: A pause holds for one incarnation only, and an older one cannot replace it
    Given a target that asked at 10 s for a pause of 5 s
    When its next incarnation asks at 11 s for a pause of 2 s
    And it asks at 12 s for a pause of 9 s
    Then its next incarnation pauses until 13 s

  Scenario: No sequence of responses, renewals, restarts and freezes breaks a notice
    Then in 400 random runs no target gets a request after it left or in a pause

  Scenario: Requests go to the targets that are not paused
    Given 4 targets of which 2 asked for a pause of 5 s
    Then none of those gets any of 100 requests, and no request is refused
