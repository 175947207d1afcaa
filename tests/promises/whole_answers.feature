Feature: Every caller gets the whole answer to its own request

  Background:
    Given a deployment "a small deployment" is running
    And the contract of rackhaven is in force

  Scenario Outline: A target cuts its answers short
    Given one target of cabinet-status of rackhaven in each region
    And the target "cabinet-status-north-a1" is told to <misbehave>
    When 30 reads with answers of <bytes> bytes are sent in north
    Then each read got its own whole answer or broke visibly
    And at least <whole> reads got a whole answer

    Examples:
      | misbehave                  | bytes  | whole |
      | {"truncate": "length"}     | 2000   | 25    |
      | {"truncate": "chunked"}    | 2000   | 25    |
      | {"truncate": "length"}     | 300000 | 1     |
      | {"truncate": "chunked"}    | 300000 | 1     |

  Scenario: Late answers never reach another caller
    Given a single target of cabinet-status of rackhaven, in north
    And the target "cabinet-status-north-a1" is told to {"late_ms": 400, "times": 8}
    When reads with a deadline of 200 ms and reads without haste are mixed in north
    Then each read got its own whole answer or broke visibly
    And at least 20 reads got a whole answer

  Scenario: Callers that give up leave nothing behind
    Given a single target of cabinet-status of rackhaven, in north
    When 30 callers hang up in the middle of long answers in north
    And 30 reads with answers of 2000 bytes are sent in north
    Then each read got its own whole answer or broke visibly
    And at least 30 reads got a whole answer

  Scenario: A target's open connections go silent while new ones work
    Given a single target of cabinet-status of rackhaven, in north
    When 10 reads with answers of 2000 bytes are sent in north
    And the target's connections from the entries go silent
    And 10 reads with answers of 2000 bytes are sent in north
    Then each read got its own whole answer or broke visibly
    And at least 18 reads got a whole answer

  Scenario: A request that takes longer than usual is waited for
    Given one target of cabinet-status of rackhaven in each region
    When 40 reads with answers of 200 bytes are sent in north
    And 3 reads that take 1200 ms are sent in north
    Then each read got its own whole answer or broke visibly
    And at least 43 reads got a whole answer

  Scenario: The only target of a service is new, idle and slower than usual
    Given a single target of cabinet-status of rackhaven, in north
    When 40 reads with answers of 200 bytes are sent in north
    And 3 reads that take 1200 ms are sent in north
    Then each read got its own whole answer or broke visibly
    And at least 43 reads got a whole answer
