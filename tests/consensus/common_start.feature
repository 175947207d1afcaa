Feature: A leader is elected in one round after a common start

  Pattern: all control instances lose power at once, some of them for good. Two that
  stand for election within the time of a message split the votes, and until another
  round is over nobody confirms the configuration that entry instances wait for.

  Scenario Outline: One round is enough, however many of the voters are up
    Then in 300 starts of voters "<voters>" with "<down>" down and a way of <way> ms a leader is elected in one round

    Examples:
      | voters        | down | way |
      | a, b, c, d, e |      | 0.5 |
      | a, b, c, d, e |      | 35  |
      | a, b, c, d, e | e    | 35  |
      | a, b, c, d, e | d, e | 12  |
      | a, b, c, d, e | d, e | 35  |
      | a, b, c, d, e | a, c | 70  |
      | a, b, c       |      | 70  |
      | a, b, c       | c    | 35  |
      | a, b, c       | a    | 70  |

  Scenario: A voter that is heard but hears nobody holds nobody up for long
    Then in 300 starts of voters "a, b, c, d, e" a leader is elected in two rounds although "e" hears nobody
