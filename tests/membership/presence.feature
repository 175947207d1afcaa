Feature: Instances that can't be reached are noticed, and those that move are not lost

  Scenario: An instance whose stream closed counts as lost after the grace
    Given the presence table of control instance "c1"
    When "a1" reports "ready" with incarnation 5 and attach 1 at 0.0 s
    Then "a1" is published as "ready"
    When the stream of "a1" closes at 1.0 s
    And presence is published at 1.5 s
    Then "a1" is published as "ready"
    When presence is published at 2.1 s
    Then "a1" is published as "lost"

  Scenario: An instance that attached elsewhere is not lost
    Given the presence table of control instance "c1"
    When "a1" reports "ready" with incarnation 5 and attach 1 at 0.0 s
    And the stream of "a1" closes at 1.0 s
    And "c2" tells of "a1" as "ready" with incarnation 5 and attach 2 at 1.5 s
    And presence is published at 3.0 s
    Then "a1" is published as "ready"

  Scenario: Old news of an earlier incarnation is ignored
    Given the presence table of control instance "c1"
    When "a1" reports "ready" with incarnation 9 and attach 1 at 0.0 s
    And "c2" tells of "a1" as "lost" with incarnation 5 and attach 4 at 1.0 s
    Then "a1" is published as "ready"

  Scenario: Instances behind a control instance that can't be reached are lost, and come back
    Given the presence table of control instance "c1"
    When "c2" tells of "b1" as "ready" with incarnation 5 and attach 1 at 0.0 s
    And the stream to "c2" closes at 1.0 s
    And presence is published at 3.0 s
    Then "b1" is published as "ready"
    When presence is published at 4.1 s
    Then "b1" is published as "lost"
    When the stream to "c2" is back
    And presence is published at 5.0 s
    Then "b1" is published as "ready"

  Scenario: A report that changes nothing is not published again
    Given the presence table of control instance "c1"
    When "a1" reports "ready" with incarnation 5 and attach 1 at 0.0 s
    And presence is published at 0.1 s
    And "a1" reports "ready" with incarnation 5 and attach 1 at 1.0 s
    Then nothing new is published at 1.1 s

  Scenario Outline: Loads are rounded so that they change rarely
    Then a load of <load> is told as <told>

    Examples:
      | load | told |
      | 0    | 0    |
      | 1    | 1    |
      | 3    | 4    |
      | 5    | 8    |
      | 8    | 8    |
