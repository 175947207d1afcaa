Feature: What a soak does follows from its seed, and a majority of the log lives

  Scenario: Faults of two control instances never overlap
    When the plans of seeds 0 to 199 are drawn, each of 60 s
    Then each control instance has had time to come back before another one has a fault
    And each kind of fault and change is in some of them
    And one entry instance has no fault in each, nor any control instance in some

  Scenario: The same seed makes the same plan
    Then the plans of seed 7 are equal, and that of seed 8 is another one
