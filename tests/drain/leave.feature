Feature: An entry that leaves outlives the look-ups that named it

  Scenario: The longest lifetime in force and the time to spread are outlived
    Given an entry that may leave, with contracts of lifetimes 3 s and 10 s
    When it leaves at 100 s
    Then it serves until 112 s

  Scenario: A lifetime that was lowered just before is outlived as well
    Given an entry that may leave, with contracts of lifetimes 3 s and 60 s
    When the lifetimes are lowered to 3 s and 5 s at 98 s
    And it leaves at 100 s
    Then it serves until 158 s

  Scenario: Without a contract nobody was ever told of it
    Given an entry that may leave, without contracts
    When it leaves at 100 s
    Then it serves until 100 s
