Feature: A reader of the logs that stops reading stops nothing

  Scenario: Lines that a full pipe does not take are dropped and counted
    Given a stream into a pipe that nobody reads
    When 5000 lines of 100 characters are written
    Then writing waited for nothing, and took less than 1 s of processor time
    And at least 4000 lines were dropped
    When somebody reads the pipe and 10 lines are written
    Then every line that was read is whole
    And the last 10 lines were read
