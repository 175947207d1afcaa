Feature: Settings are validated completely before an instance starts
  Guards against an instance that runs with wrong settings, and against faults that
  come to light only one at a time, with a restart for each.

  Scenario: Every fault is reported with its path and result code
    A value out of bounds must not hide an unknown key.
    Given settings of a complete instance
    When the port of the traffic address is 0
    And an unknown key "colour" is added
    And the peer host is "localhost"
    Then reading them fails with code 1002 at "/listen/traffic/port"
    And reading them fails with code 1002 at "/colour"

  Scenario: Contradictory values are reported
    Each value is valid by itself: a host given as a name in place of an IP address, or
    no data folder on a control instance.
    Given settings of a complete instance
    When the peer host is "localhost"
    And the data folder is missing
    Then reading them fails with code 1003 at "/listen/peer/host"
    And reading them fails with code 1003 at "/data_folder"

  Scenario: Complete settings are accepted
    Given settings of a complete instance
    Then reading them succeeds
