Feature: Control instances agree on commands

  Scenario: A command is applied on every control instance
    Given a replicated log on "a, b, c"
    When "b" proposes "one"
    And "c" proposes "two"
    Then every control instance has applied "one, two"

  Scenario: A single control instance agrees with itself
    Given a replicated log on "a"
    When "a" proposes "one"
    Then every control instance has applied "one"

  Scenario: Commands go on after the leader is lost
    Given a replicated log on "a, b, c"
    When "a" proposes "one"
    And the leader of the log is killed
    And a remaining control instance proposes "two"
    Then every control instance has applied "one, two"
    When the killed control instance starts again
    Then every control instance has applied "one, two"

  Scenario: All restart from disk
    Given a replicated log on "a, b, c"
    When "a" proposes "one"
    And all control instances are killed and start again
    And "a" proposes "two"
    Then every control instance has applied "one, two"
