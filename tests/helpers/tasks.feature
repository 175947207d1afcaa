Feature: Background tasks are restarted after an error
  A background task sends reports or deliveries as long as the instance runs. An
  unexpected error in one turn must not end it for good.

  Scenario: A task that fails is restarted
    Given a background task that fails in its first turn
    When it is run for two turns
    Then it ran twice

  Scenario: A task that is cancelled is not restarted
    Given a background task that waits
    When it is cancelled
    Then it has ended
