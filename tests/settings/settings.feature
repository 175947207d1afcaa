Feature: Settings are checked whole before anything starts

  Scenario: Every fault is named with its path and a numbered code
    Given settings of a complete instance
    When the port of the traffic address is 0
    And an unknown key "colour" is added
    And the peer host is "localhost"
    Then reading them fails with code 1002 at "/listen/traffic/port"
    And reading them fails with code 1002 at "/colour"

  Scenario: Values that contradict each other are named
    Given settings of a complete instance
    When the peer host is "localhost"
    And the data folder is missing
    Then reading them fails with code 1003 at "/listen/peer/host"
    And reading them fails with code 1003 at "/data_folder"

  Scenario: Complete settings are accepted
    Given settings of a complete instance
    Then reading them succeeds
