Feature: Control instances issue no more tokens for a target than its rate limit allows

  Scenario: The sum over all entry instances stays within the limit
    Then for any cuts, freezes, restarts and changes of the limit, the target gets at most 1.5 times what it allows and 5 more

  Scenario: The limit is used by whichever entry instances need it
    Then without faults the target gets at least 0.7 times what the limit allows, from 8 entries and from 1

  Scenario Outline: A control instance issues its share of the limit
    Given a token issuer with a share of <share>
    When it learns at 0 s of a limit of <per_s> a second
    Then it issues <count> tokens in 10 s, the first at <first> s

    Examples: limits of common size, and one below the lowest rate of tokens
      | share | per_s | count | first |
      | 1     | 5     | 47    | 0.7   |
      | 0.2   | 5     | 9     | 1.5   |
      | 1     | 0     | 2     | 4.5   |

  Scenario: A control instance that doesn't know the number of them issues no tokens
    Given a token issuer with a share of 0
    When it learns at 0 s of a limit of 5 a second
    Then it issues 0 tokens in 10 s

  Scenario: Unused tokens are kept for a short time only
    Given a token issuer with a share of 1
    When it learns at 0 s of a limit of 8 a second
    Then it issues at most 3 tokens at once at 60 s

  Scenario: A limit that ends lets all requests pass, and begins anew later
    Given a token issuer with a share of 1
    When it learns at 0 s of a limit of 5 a second
    And it learns at 5 s that the limit has ended
    Then it issues 20 tokens at once at 5 s
    When it learns at 6 s of a limit of 5 a second
    Then it issues 0 tokens at once at 6.1 s

  Scenario: News that is older than what is known changes nothing
    Given a token issuer with a share of 1
    When it learns at 5 s of a limit of 5 a second
    And it learns at 4 s that the limit has ended
    Then it issues 0 tokens at once at 5.1 s

  Scenario: A control instance that doesn't answer is not asked again for a while
    Given an entry instance with the control instances "c1, c2"
    When "c1" doesn't answer its token request at 1 s
    Then it asks "c2" at 1 s
    And it asks "c1" at 3.1 s

  Scenario: A control instance is not asked before its next token
    Given an entry instance with the control instances "c1, c2"
    When "c1" denies it a token at 1 s until 1.5 s
    Then it asks "c2" at 1 s
    When "c2" denies it a token at 1 s until 1.2 s
    Then it asks none at 1.1 s
    And it asks "c2" at 1.3 s
    And it asks "c1" at 1.6 s
