Feature: News of targets are ordered by incarnation, not by arrival

  Scenario: A late announcement does not bring back a target that left
    Given a target table
    When "t1" incarnation 3 is told as "serving" by "a1" at 0 s
    And "t1" incarnation 3 is told as "left" by "a1" at 1 s
    And "t1" incarnation 3 is told as "serving" by "b1" at 2 s
    Then "t1" is not known as live

  Scenario: A restarted target comes back with a greater incarnation
    Given a target table
    When "t1" incarnation 3 is told as "left" by "a1" at 1 s
    And "t1" incarnation 4 is told as "serving" by "b1" at 2 s
    And "t1" incarnation 3 is told as "leaving" by "a1" at 3 s
    Then "t1" is known as "serving"

  Scenario: A leaving target does not serve again in the same incarnation
    Given a target table
    When "t1" incarnation 3 is told as "leaving" by "a1" at 0 s
    And "t1" incarnation 3 is told as "serving" by "b1" at 1 s
    Then "t1" is known as "leaving"

  Scenario: Only the owner of a row may let it lapse
    Given a target table
    When "t1" incarnation 3 is told as "serving" by "a1" at 0 s
    And "t1" incarnation 3 is told as "serving" by "b1" at 1 s
    And "t1" incarnation 3 is told as "lapsed" by "a1" at 2 s
    Then "t1" is known as "serving"
    When "t1" incarnation 3 is told as "lapsed" by "b1" at 3 s
    Then "t1" is not known as live
    When "t1" incarnation 3 is told as "serving" by "a1" at 4 s
    Then "t1" is known as "serving"

  Scenario: Targets of a lost owner are dropped after the lease
    Given a target table
    When "t1" incarnation 3 is told as "serving" by "a1" at 0 s
    And the table is swept at 1 s with only "b1" reachable
    And the table is swept at 5 s with only "b1" reachable
    Then "t1" is known as "serving"
    When the table is swept at 7 s with only "b1" reachable
    Then "t1" is not known as live

  Scenario: A lease that is not renewed lapses, and a renewed one does not
    Given an instance "a1" that takes announcements
    When "t1" incarnation 1 announces itself at 0 s
    And "t2" incarnation 1 announces itself at 0 s
    And "t2" incarnation 1 announces itself at 4 s
    Then at 6 s the leases of "t1" lapse
