Feature: Background tasks outlive their own errors

  Scenario: A task that fails is run again
    Given a background task that fails in its first turn
    When it is run for two turns
    Then it ran twice

  Scenario: A task that is cancelled is not run again
    Given a background task that waits
    When it is cancelled
    Then it has ended
