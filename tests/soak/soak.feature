Feature: Processes under faults from outside keep their promises

  Scenario Outline: A short run
    When the soak of seed <seed> runs for <seconds> s
    Then it broke no promise, each bound was judged, and most requests were answered

    Examples:
      | seed | seconds |
      | 1    | 10      |
      | 2    | 10      |
