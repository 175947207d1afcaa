Feature: The first instances found one log by a majority

  Pattern: one of the first instances is down, slow, killed or without its folder while
  the log is founded.

  Scenario Outline: Crashes, lost folders and lost, doubled and reordered messages
    When founders of <count> instances go through <worlds> worlds of 400 steps
    Then no world chose two memberships, and folders were lost in some

    Examples:
      | count | worlds |
      | 3     | 300    |
      | 5     | 100    |

  Scenario: They propose in turn, and wait for all before a majority has to do
    Given the instances "a, b, c" may found a log
    Then "a" proposes after 0 s while "a, b, c" answer, and not before
    And "b" proposes after 1 s while "a, b, c" answer, and not before
    And "a" proposes after 2 s while "a, c" answer, and not before
    And "b" proposes after 3 s while "b, c" answer, and not before
    And "c" never proposes while "c" answer
    And "d" never proposes while "a, b, c" answer
