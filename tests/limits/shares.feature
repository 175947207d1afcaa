Feature: Shares of a limit never add up to more than the limit

  Scenario: Random walks over lost, late and reordered messages, freezes, restarts and new leaders
    When 1000 random walks of 40 steps over holders and leaders are made
    Then no limit was exceeded after any step
