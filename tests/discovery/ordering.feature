Feature: Rows of targets are ordered by incarnation and state, not by arrival

  Guards against a delayed row that restores a target which has left, and against targets
  that stay known after their lease has expired. Rows reach an instance by way of several
  others, so they can arrive in any order.

  Scenario: A delayed row does not restore a target that left
    Given a target table
    When "t1" incarnation 3 arrives as "serving" from "a1" at 0 s
    And "t1" incarnation 3 arrives as "left" from "a1" at 1 s
    And "t1" incarnation 3 arrives as "serving" from "b1" at 2 s
    Then "t1" is not known as live

  Scenario: A restarted target is known by its greater incarnation
    Given a target table
    When "t1" incarnation 3 arrives as "left" from "a1" at 1 s
    And "t1" incarnation 4 arrives as "serving" from "b1" at 2 s
    And "t1" incarnation 3 arrives as "leaving" from "a1" at 3 s
    Then "t1" is known as "serving"

  Scenario: A leaving target does not serve again in the same incarnation
    Given a target table
    When "t1" incarnation 3 arrives as "leaving" from "a1" at 0 s
    And "t1" incarnation 3 arrives as "serving" from "b1" at 1 s
    Then "t1" is known as "leaving"

  Scenario: Only the owner of a row can end it as lapsed
    Given a target table
    When "t1" incarnation 3 arrives as "serving" from "a1" at 0 s
    And "t1" incarnation 3 arrives as "serving" from "b1" at 1 s
    And "t1" incarnation 3 arrives as "lapsed" from "a1" at 2 s
    Then "t1" is known as "serving"
    When "t1" incarnation 3 arrives as "lapsed" from "b1" at 3 s
    Then "t1" is not known as live
    When "t1" incarnation 3 arrives as "serving" from "a1" at 4 s
    Then "t1" is known as "serving"

  Scenario: Targets of a lost owner are removed after the lease time
    Given a target table
    When "t1" incarnation 3 arrives as "serving" from "a1" at 0 s
    And the table is swept at 1 s with only "b1" reachable
    And the table is swept at 5 s with only "b1" reachable
    Then "t1" is known as "serving"
    When the table is swept at 7 s with only "b1" reachable
    Then "t1" is not known as live

  Scenario: A lease that is not renewed expires, and a renewed one does not
    Given an instance "a1" that receives announcements
    When "t1" incarnation 1 announces itself at 0 s
    And "t2" incarnation 1 announces itself at 0 s
    And "t2" incarnation 1 announces itself at 4 s
    Then at 6 s the lease of "t1" expires, and no other
