Feature: Shares of a limit never add up to more than the limit
  A limit is exceeded if the leader grants a share that another holder may still use:
  one whose renewal or grant was lost, delayed or reordered, whose process restarted,
  or whose lease an earlier leader granted.

  Scenario: Random sequences of lost, late and reordered messages, pauses, restarts and new leaders
    When 1000 random sequences of 40 events at holders and leaders are run
    Then no limit was exceeded after any event
