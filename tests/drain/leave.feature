Feature: A leaving entry instance serves until no cached look-up answer names it
  Callers cache look-up answers for the lifetime that their contract sets. An instance
  that stopped earlier would fail the requests that callers still send to it.

  Scenario: It waits for the longest lifetime and the propagation of its leaving state
    Given an entry instance with contracts of look-up lifetimes 3 s and 10 s
    When it starts to leave at 100 s
    Then it must serve until 112 s

  Scenario: It waits for a longer lifetime that was lowered just before it leaves
    Answers that were given before the change keep the lifetime that they were given with.
    Given an entry instance with contracts of look-up lifetimes 3 s and 60 s
    When the lifetimes are lowered to 3 s and 5 s at 98 s
    And it starts to leave at 100 s
    Then it must serve until 158 s

  Scenario: It does not wait if there never was a contract
    Without contracts, no look-up is answered and no caller knows the instance.
    Given an entry instance without contracts
    When it starts to leave at 100 s
    Then it must serve until 100 s
