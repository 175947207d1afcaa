Feature: Renewals of targets are ordered by incarnation and sequence, not by arrival

  Scenario: The order of arrival doesn't matter
    Then any order of the same renewals gives the same targets

  Scenario: A late renewal never brings an older state back
    Given a registry
    When target "t" renews with incarnation 2 and sequence 5 as serving
    And target "t" renews with incarnation 2 and sequence 4 as leaving
    And target "t" renews with incarnation 1 and sequence 9 as leaving
    Then target "t" is serving

  Scenario: A new start under the same name counts anew
    Given a registry
    When target "t" renews with incarnation 1 and sequence 90 as leaving
    And target "t" renews with incarnation 2 and sequence 1 as serving
    Then target "t" is serving

  Scenario: An address belongs to the target that started last
    Given a registry
    When target "old" with incarnation 1 renews at port 80
    And target "new" with incarnation 2 renews at port 80
    Then the registry knows only "new"
    When target "old" with incarnation 1 renews at port 80 once more
    Then the registry knows only "new"

  Scenario: While no renewal arrives from anybody, no target counts as silent
    Given a registry
    When target "a" renews at 1 s and target "b" at 3 s
    Then "a" has been silent for 2 s and "b" for 0 s
