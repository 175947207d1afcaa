Feature: script/run --once

  Scenario: The tour passes for both customers
    When the tour is made
    Then each of its steps is right
