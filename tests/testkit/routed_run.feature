Feature: script/run --routed

  Scenario: It serves a read, tells of the faults it was told to make, and stops
    When a routed deployment is run by the script
    Then its first entry instance answers a read with 200
    When it is told to have a target hang and another one replaced
    Then it tells of both
    And it stops with exit code 0
