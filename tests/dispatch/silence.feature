Feature: What a silent connection costs leaves time for a slow answer

  Scenario Outline: The limit follows the usual time and the time to the deadline
    Given answers that usually take <usual> ms
    Then with <left> ms to the deadline a connection may be silent for <limit>

    Examples:
      | usual | left  | limit   |
      | 1     | 10000 | 250 ms  |
      | 60    | 2000  | 285 ms  |
      | 60    | 10000 | 540 ms  |
      | 600   | 2000  | ever    |
