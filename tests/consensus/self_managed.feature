Feature: Control instances that know only seeds form a log and keep it whole

  Scenario: Seeds found the log and the others join it
    Given a self-managed log founded by "a, b, c" and joined by "d, e"
    Then the voters are "a, b, c, d, e" within 8 s

  Scenario: An instance with an empty disk never founds a log where one was founded
    Given a self-managed log founded by "a, b, c" and joined by "d, e"
    Then the voters are "a, b, c, d, e" within 8 s
    When "a" loses its disk and starts again without founding
    Then the voters are "a, b, c, d, e" within 8 s
    And every control instance has applied nothing else

  Scenario: A new machine takes the place of one that is gone for good
    Given a self-managed log founded by "a, b, c" and joined by "d, e"
    Then the voters are "a, b, c, d, e" within 8 s
    When "e" is gone and "f" starts
    Then the voters are "a, b, c, d, f" within 8 s

  Scenario: A further machine only follows while all voters live
    Given a self-managed log founded by "a, b, c" and joined by "d, e"
    Then the voters are "a, b, c, d, e" within 8 s
    When "f" starts
    Then "f" is a learner within 8 s
    And the voters are "a, b, c, d, e" within 8 s

  Scenario: A voter that was replaced comes back as a learner
    Given a self-managed log founded by "a, b, c" and joined by "d, e"
    Then the voters are "a, b, c, d, e" within 8 s
    When "e" is gone and "f" starts
    Then the voters are "a, b, c, d, f" within 8 s
    When "e" starts
    Then "e" is a learner within 8 s

  Scenario: After all ended at once a leader is there without the wait for a lost one
    Given a self-managed log founded by "a, b, c" and joined by "d, e"
    Then the voters are "a, b, c, d, e" within 8 s
    When all end at once and start again
    Then there is a leader within 0.6 s

  Scenario: Two of three seeds found the log, and the third joins it when it comes up
    Given a self-managed log whose seeds are "a, b, c"
    When "b, c, d, e" of it start
    Then the voters are "b, c, d, e" within 12 s
    When "a" of it starts
    Then the voters are "a, b, c, d, e" within 8 s

  Scenario: A seed that has lost its folder since never founds a log with one that was down
    Given a self-managed log whose seeds are "a, b, c"
    When "a, b" of it start
    Then the voters are "a, b" within 12 s
    When "a" ends and "b" loses its disk and starts again without founding
    And "c" of it starts
    Then nothing is founded by "b, c" within 6 s

  Scenario: A seed that is started again before the founding still takes part in it
    Given a self-managed log whose seeds are "a, b, c"
    When "a" of it starts
    And "a" ends and starts again, not at its first start any more
    And "b" of it starts
    Then the voters are "a, b" within 12 s
