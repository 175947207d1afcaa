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
