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

  Scenario: A lost disk is repaired, and right after that another one is lost
    Given a replicated log on "a, b, c"
    When "a" proposes 20 numbered commands
    And the disk of a follower of the log is lost
    And the lost control instance starts with an empty folder and votes again
    And the disk of the leader of the log is lost
    And a remaining control instance proposes 20 numbered commands
    And the lost control instance starts with an empty folder and votes again
    And the disk of the leader of the log is lost
    And a remaining control instance proposes 20 numbered commands
    Then every control instance has applied 60 numbered commands

  Scenario: An instance with an empty folder does not help to elect a leader
    Given a replicated log on "a, b, c"
    When "a" proposes "one"
    And the leader of the log is killed
    And the disk of a follower of the log is lost
    And the lost control instance starts with an empty folder
    Then no control instance leads within 4 seconds
    And proposing "two" on every control instance fails and surely did not run
    When the killed control instance starts again
    And a remaining control instance proposes "three"
    Then every control instance has applied "one, three"

  Scenario: An instance comes back after 300 commands and catches up by a snapshot
    Given a replicated log on "a, b, c"
    When "a" proposes 10 numbered commands
    And a follower of the log is killed
    And a remaining control instance proposes 300 numbered commands
    And the killed control instance starts again
    Then every control instance has applied 310 numbered commands
    And the killed control instance has installed a snapshot

  Scenario: A leader that is cut off answers nothing as current, and its return is calm
    Given a replicated log on "a, b, c"
    When "a" proposes "one"
    And the leader of the log is cut off
    Then the cut off control instance confirms no read and no leadership
    And proposing "two" on the cut off control instance fails
    When another control instance than the one cut off proposes "three"
    And the cut off control instance is reached again
    Then the log applied everywhere is "one, three" or "one, three, two"
    And the term of the log stays the same for 3 seconds
    And every control instance confirms a read

  Scenario: A leader that stops hands over without an election timeout
    Given a replicated log on "a, b, c"
    When "a" proposes "one"
    And the leader of the log stops gracefully, twice
    And a remaining control instance proposes "two"
    Then every control instance has applied "one, two"
    And no remaining control instance asked for pre-votes after the stop

  Scenario: A voter is added and another removed
    Given a replicated log on "a, b, c"
    When "a" proposes 150 numbered commands
    And "d" starts and is added as a voter
    And the voter "a" of the log is removed
    Then the voters of the log are "b, c, d"
    When the control instance "a" of the log is killed
    And the control instance "b" of the log is killed
    And a remaining control instance proposes 10 numbered commands
    Then every control instance has applied 160 numbered commands

  Scenario: A coordinator that never started stops
    Given a replicated log on "a"
    Then a coordinator that never started stops twice without an error
