Feature: Control instances that start at the same moment

  Pattern: all instances lose power at once while the targets go on. Each target renews
  itself at one control instance, in part before the streams between these are open.

  Scenario: All know all targets before any of them goes by what it knows
    Given 5 control instances that start at 0 s
    When 50 targets renew themselves from 0 s to 0.4 s, each at one of them
    And the streams between them are open from 0.2 s
    Then at 0.6 s each knows 50 targets
    And at 0.6 s none of them is settled

  Scenario: Each asks another at most once in 0.3 s until it is settled
    Given 5 control instances that start at 0 s
    When 50 targets renew themselves from 0 s to 0.7 s, each at one of them
    And the streams between them are open from 0.2 s
    Then up to 0.7 s each has asked each other at most 2 times
