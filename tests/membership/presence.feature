Feature: Presence of instances at a control instance

  An instance whose stream closes counts as lost only after a grace time, because it may
  attach to another control instance. Without the grace time each such move would remove
  the instance from the answers that callers get.

  Scenario: An instance whose stream closed counts as lost after the grace time
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
    And "c2" announces "a1" as "ready" with incarnation 5 and attach 2 at 1.5 s
    And presence is published at 3.0 s
    Then "a1" is published as "ready"

  Scenario: A row of an earlier incarnation is ignored
    Given the presence table of control instance "c1"
    When "a1" reports "ready" with incarnation 9 and attach 1 at 0.0 s
    And "c2" announces "a1" as "lost" with incarnation 5 and attach 4 at 1.0 s
    Then "a1" is published as "ready"

  Scenario: Instances of a disconnected control instance are lost until it reconnects
    Given the presence table of control instance "c1"
    When "c2" announces "b1" as "ready" with incarnation 5 and attach 1 at 0.0 s
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
    Then a load of <load> is reported as <told>

    Examples:
      | load | told |
      | 0    | 0    |
      | 1    | 1    |
      | 3    | 4    |
      | 5    | 8    |
      | 8    | 8    |
