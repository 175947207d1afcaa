Feature: Control instances that start at the same moment

  Guards against control instances that route by an incomplete list of targets. This can
  happen when all instances restart at the same time while the targets keep running: each
  target renews itself at one control instance only, some before the control instances
  are connected to each other.

  Scenario: Each control instance knows all targets before any of them is settled
    Given 5 control instances that start at 0 s
    When 50 targets renew themselves from 0 s to 0.4 s, each at one of them
    And the streams between them are open from 0.2 s
    Then at 0.6 s each knows 50 targets
    And at 0.6 s none of them is settled

  Scenario: Until it is settled, each requests the targets of another at most once in 0.3 s
    Given 5 control instances that start at 0 s
    When 50 targets renew themselves from 0 s to 0.7 s, each at one of them
    And the streams between them are open from 0.2 s
    Then up to 0.7 s each has asked each other at most 2 times
