Feature: The soak notices what targets asked for and did not get

  Background:
    Given a soak in which "r1" through "entry-1" ended at 20 s

  Scenario Outline: A target that said in an answer that it leaves
    When "target-1" answered "r1" at 19.9 s that it leaves
    And "r2" through "<entry>" was sent to "target-1" at <at> s
    And "entry-1" had such a fault from <since> s to <until> s
    Then the notices show <broken>

    Examples: late, in time, another entry, a fault meanwhile
      | entry   | at   | since | until | broken   |
      | entry-1 | 22.1 | 0     | 1     | "NOTICE" |
      | entry-1 | 21.9 | 0     | 1     | nothing  |
      | entry-2 | 22.1 | 0     | 1     | nothing  |
      | entry-1 | 22.1 | 20.5  | 21    | nothing  |

  Scenario Outline: A target that asked for a pause
    When "target-1" answered "r1" at 19.9 s with a pause of 2 s
    And <count> requests through "entry-1" came to "target-1" at <at> s
    Then the notices show <broken>

    Examples: three in the pause, two, three on their way, three after it
      | count | at   | broken  |
      | 3     | 21   | "PAUSE" |
      | 2     | 21   | nothing |
      | 3     | 20.3 | nothing |
      | 3     | 22   | nothing |
