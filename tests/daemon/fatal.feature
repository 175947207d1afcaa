Feature: An instance that can't write its log ends instead of pretending

  Scenario: The disk of a control instance takes no more writes
    Given a small deployment of the daemon
    When the disk of "south-1" takes no more writes
    And a change of a contract is sent to "north-1"
    Then the process of "south-1" ends with exit code 4
    And the change is accepted, at the latest when it is sent again
