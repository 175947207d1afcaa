Feature: Orders to suspended control processes

  Scenario Outline: Zones are evacuated and taken back while control processes are suspended
    Guards against orders that a process runs when it wakes, after their callers have left.
    When seed <seed> of orders to suspended control processes is played
    Then every change of a zone was asked for, and the last order of each zone holds

    Examples:
      | seed |
      | 1    |
      | 11   |
