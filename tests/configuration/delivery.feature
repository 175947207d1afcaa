Feature: Changes of the configuration are told by a few, and shown by all

  Pattern: dozens of entry instances behind thin links, each with a stream to all control
  instances.

  Scenario: A subscriber that wants changes is told of each at once
    Given a publisher of the configuration with 2 items
    When "e1" subscribes at revision 0 and wants changes
    Then "e1" was last sent the items up to revision 2
    When an item is changed at revision 3
    Then "e1" was last sent the items up to revision 3

  Scenario: Any other subscriber sees by the beats what it lacks, and asks for it
    Given a publisher of the configuration with 2 items
    When "e1" subscribes at revision 0 and wants beats only
    And an item is changed at revision 3
    Then "e1" was last sent a beat
    When "e1" asks for what came after revision 2
    Then "e1" was last sent the items up to revision 3

  Scenario: A follower asks the control instance whose beat shows more
    Given a follower of the configuration that holds revision 0
    When control "c3" sends it a beat of revision 2
    Then it asked "c3" for what came after revision 0
