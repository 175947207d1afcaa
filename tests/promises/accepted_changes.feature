Feature: An accepted configuration is in force everywhere within seconds and stays

  Background:
    Given a deployment "a small deployment with a further entry" is running behind proxies
    And the contract of rackhaven is in force
    And the revisions of all instances are watched

  Scenario: The leader is killed in the middle of changes
    When an operator changes the contract again and again
    And instance "the leader" is killed
    And further changes are accepted
    And the killed instance is started again
    And further changes are accepted
    Then the newest accepted change is in force on all instances in time
    And no accepted change is lost
    And each instance shows the last accepted contract
    And no instance went back to an older revision

  Scenario: A disk is lost and repaired, and another is lost at once
    When 20 changes are made
    And instance "a follower" is killed
    And the killed instance is started again with an empty disk
    And the killed instance is ready again
    And instance "another follower" is killed
    And 20 changes are made
    And the killed instance is started again with an empty disk
    And the killed instance is ready again
    And instance "the leader" is killed
    And 20 changes are made
    And the killed instance is started again
    Then the newest accepted change is in force on all instances in time
    And no accepted change is lost
    And each instance shows the last accepted contract
    And no instance went back to an older revision

  Scenario: The leader is cut off silently while operators try both sides
    When instance "the leader" is cut off silently
    And operators try both sides for longer than every time-out
    Then the side that is cut off accepted nothing and showed nothing old
    When the cut is healed
    Then what was told about the cut-off side's changes is true
    And the newest accepted change is in force on all instances in time
    And no accepted change is lost
    And no instance went back to an older revision
    And no process has ended

  Scenario: The leader is frozen and wakes
    When instance "the leader" is frozen
    And changes and reads are sent to the frozen instance, and others are accepted
    And the frozen instance wakes
    Then the woken instance accepts nothing on an old revision and shows nothing old
    And the newest accepted change is in force on all instances in time
    And no accepted change is lost
    And each instance shows the last accepted contract
    And no instance went back to an older revision

  Scenario: Ten operators race on one revision
    When 10 operators change the contract on one revision at the same time
    Then one of them wins and the others learn which one
    And no instance went back to an older revision

  Scenario: Each change is sent twice with its first answer lost
    When each of 10 changes is sent twice, with the first answer lost
    Then each is one change with one answer

  Scenario: An entry is started again 300 changes later
    When instance "north-2" is killed
    And 300 changes are made
    And the killed instance is started again
    Then the killed instance first says ready at the newest accepted revision
    And no instance went back to an older revision

  Scenario: A control instance is started again 300 changes later
    When instance "a follower" is killed
    And 300 changes are made
    And the killed instance is started again
    Then the killed instance first says ready at the newest accepted revision
    And no accepted change is lost

  Scenario: Open streams go silent for good while new ones work
    When an operator changes the contract again and again
    And all open streams go silent for good
    And further changes are accepted
    Then the newest accepted change is in force on all instances in time
    And a further change is in force on all instances within the stated target
    And no accepted change is lost
    And no instance went back to an older revision

  Scenario: Open streams go silent and the leader is killed, together
    When an operator changes the contract again and again
    And all open streams go silent for good
    And instance "the leader" is killed
    And further changes are accepted
    And the killed instance is started again
    And further changes are accepted
    Then the newest accepted change is in force on all instances in time
    And no accepted change is lost
    And no instance went back to an older revision
