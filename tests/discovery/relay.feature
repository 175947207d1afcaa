Feature: A control instance passes on news of targets, and loads within a budget

  Scenario: A changed target is told to all, its load in its region only
    Given a relay at "c1" with "n1" of north and "s1" of south attached, and "c2" as peer
    When "n1" tells of "t1" of north and of its load 3
    Then "s1" and "c2" were told of "t1"
    When the relay flushes its loads
    Then "c2" was told the load of "t1"
    And "s1" was not told the load of "t1"

  Scenario: News of another control instance goes to attached instances only
    Given a relay at "c1" with "n1" of north and "s1" of south attached, and "c2" as peer
    When "c2" tells of "t1" of north and of its load 3
    Then "n1" and "s1" were told of "t1"
    And "c2" was told nothing

  Scenario: More loads than the budget wait their turn, longest waiting first
    Given a budget of load reports
    When loads of 100 targets are reported, and those of 50 again
    Then flushes of 60 give the first 60 targets, then the other 40

  Scenario: A load that waited is passed on with its age
    Given a relay at "c1" with "n1" of north and "n2" of north attached, and "c2" as peer
    When "n1" tells of "t1" of north and of its load 3
    And 4 s pass
    And the relay flushes its loads
    Then "n2" was told the load of "t1" with an age of 4000 ms
