Feature: Instances measure what they carry

  Scenario: Bytes are counted at both ends of a stream
    Given a deployment "a small deployment with a further entry" is running
    And the contract of rackhaven is in force
    When 50 changes are made
    And 2 seconds pass
    Then north-2 received at least 10000 bytes on its stream
    And all instances together received nearly what they sent
