Feature: Writing logs never blocks on their reader
  The process that reads the logs may stop reading, and the pipe between them fills up.
  A write that waits for room would then block the whole instance.

  Scenario: Lines written to a full pipe are dropped and counted
    Given a stream into a pipe that nobody reads
    When 5000 lines of 100 characters are written
    Then writing never blocked, and took less than 1 s of processor time
    And at least 4000 lines were dropped
    When the pipe is read and 10 lines are written
    Then every line that was read is complete
    And the last 10 lines were read
