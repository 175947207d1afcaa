Feature: The check of rate limits counts what targets get from entry instances that know

  Background:
    Given a target that names a limit of 5 a second at 10 s
    And "e1" and "e2" passed on a response with it at 10.1 s

  Scenario Outline: Requests in 4 s, over all entry instances
    When <first> requests through "e1" and <second> through "e2" come evenly from <since> s to <until> s
    Then the check of rate limits shows <broken>

    Examples: too many in all, as many as allowed, before the bound holds
      | first | second | since | until | broken  |
      | 18    | 18     | 16    | 19.9  | "LIMIT" |
      | 17    | 18     | 16    | 19.9  | nothing |
      | 18    | 18     | 9     | 12.9  | nothing |

  Scenario: Requests through an entry instance that has not passed on a response with the limit
    When 36 requests through "e3" come evenly from 16 s to 19.9 s
    Then the check of rate limits shows nothing

  Scenario Outline: An entry instance that had a fault
    When "e1" has a fault from <since> s to <until> s
    And "e1" passes on another response with it at 14 s
    And 36 requests through "e1" come evenly from 16 s to 19.9 s
    Then the check of rate limits shows <broken>

    Examples: before it was told again, since then
      | since | until | broken  |
      | 12    | 13    | "LIMIT" |
      | 14.5  | 15    | nothing |

  Scenario Outline: A limit that changes
    When the target names <later> at 17 s
    And 36 requests through "e1" come evenly from 20.5 s to 24.4 s
    Then the check of rate limits shows <broken>

    Examples: lowered, raised, withdrawn
      | later              | broken  |
      | a limit of 1       | "LIMIT" |
      | a limit of 6       | nothing |
      | no limit           | nothing |
