Feature: Entry instances share the loads of targets by way of control instances

  Guards against messages that take the links or processors of entry instances, against
  false values in them, and against a change for deployments that need no sharing.

  Scenario: What one entry instance learned reaches the others with its age
    Given 3 entry instances that share loads
    When the first learns of 5 requests at a target of 3 slots with a slowdown of 2
    And 0.4 s passes until it is told and forwarded
    Then the others know of 5 requests there, observed 0.4 s ago

  Scenario: An older figure never replaces a newer one
    Given 3 entry instances that share loads
    When the second learns of 1 requests at a target of 3 slots with a slowdown of 1
    And a figure of 7 requests that is 2 s old is forwarded
    Then the second knows of 1 requests there

  Scenario: A target that is as busy as before is not told again
    Given 3 entry instances that share loads
    When the first learns 50 times of 2 requests at a target of 3 slots
    Then it told one figure in all

  Scenario: Messages are bounded at 80 entry instances and 180 targets
    Given 80 entry instances that get 1000 responses a second of 180 targets
    Then an entry instance sends each control instance at most 2 messages a second
    And an entry instance gets at most 2 messages a second of each of its 2 primaries
    And they take at most 5 of 100 of a link of 2 Mbit/s
    And they take at most 2 of 100 of the processor time of 0.43 cores

  Scenario: A burst of figures is told in bounded messages, the oldest first
    Given an entry instance that learned of 200 targets at once
    Then its next messages have 64, 64, 64 and 8 figures

  Scenario: No message can break the figures
    Then a message with any values is refused with code 1104 or leaves all figures finite

  Scenario Outline: Nothing is sent, and targets are chosen as before, unless needed
    Given an entry instance of <entries>, <permission>, with <workspaces> workspaces
    When it learns of a target with a slowdown of <slowdown>
    Then it <result>

    Examples:
      | entries | permission                | workspaces | slowdown | result            |
      | 80      | whose settings permit it  | 0          | 1        | shares no loads   |
      | 80      | whose settings forbid it  | 2          | 2.5      | shares no loads   |
      | 10      | whose settings permit it  | 2          | 2.5      | shares no loads   |
      | 80      | whose settings permit it  | 2          | 1        | shares no loads   |
      | 80      | whose settings permit it  | 0          | 2.5      | shares loads only |

  # Guards against objects of a busy region that move from one busy target to another,
  # while targets of the other regions count as idle.
  Scenario: Regional objects move within the region of their callers
    Given targets with a demand of "30, 10" in one region and "3, 1" in another
    When the objects of the service are regional
    Then "0.300, 0.000, 0.300, 0.000" of the objects of each target move
    When the objects of the service are shared
    Then "0.615, 0.000, 0.000, 0.000" of the objects of each target move
