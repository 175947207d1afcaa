Feature: Drains and stops cut off nothing

  Background:
    Given a deployment "a small deployment with a further entry" is running

  Scenario Outline: Something is drained under load
    Given the contract of rackhaven is in force
    And today's targets of cabinet-status of rackhaven
    When 20 reads a second of 50 ms arrive in each region
    And the <kind> "<name>" is drained
    Then the drained targets get no new work after 2 seconds
    When the load ends
    Then no promise is broken under the load
    And no request was cut off

    Examples:
      | kind              | name                    |
      | target            | cabinet-status-north-a1 |
      | availability_zone | north-a                 |
      | region            | north                   |

  Scenario: A target is told to stop under load
    Given the contract of rackhaven is in force
    And today's targets of cabinet-status of rackhaven
    When 20 reads a second of 50 ms arrive in each region
    And the targets in north are told to stop
    Then the stopped targets got no new work after 2 seconds and ended with 0
    When the load ends
    Then no promise is broken under the load
    And no request was cut off

  Scenario: A region is lost during a drain of another
    Given the contract of rackhaven is in force with capacity=10, cap=6, link=6
    And today's targets of cabinet-status of rackhaven
    When 20 reads a second of 50 ms arrive in each region
    And the region "centre" is drained
    And the targets in north are killed
    And 6 seconds pass
    And the load ends
    Then no region ran over its capacity and no shift over its cap
    And no promise is broken under the load
    And the drained targets get no new work after 2 seconds

  Scenario: Everything is stopped with load running
    Given the contract of rackhaven is in force
    And today's targets of cabinet-status of rackhaven
    When 20 reads a second of 50 ms arrive in each region
    And 12 long answers are under way
    And all instances are told to stop, twice
    Then all instances end with 0
    When the load ends
    Then no request was cut off
    And each long answer that was begun is whole, 3 at least
    When all targets are told to stop
    Then all targets end with 0
    And no promise is broken under the load

  Scenario: An entry is stopped while its look-ups are cached
    Given the contract of rackhaven is in force
    And today's targets of cabinet-status of rackhaven
    When 20 reads a second of 50 ms arrive in each region
    And instance "north-2" is told to stop and ends with 0
    And the load ends
    Then no promise is broken under the load
    And no request was cut off
    And no request was refused a connection

  Scenario: Everything is stopped while new connections pour in
    Given the contract of rackhaven is in force
    And today's warm targets of cabinet-status of rackhaven
    When 300 reads a second of 1 ms arrive in north
    And all instances are told to stop, twice
    Then all instances end with 0
    When the load ends
    Then no request was cut off
    And no promise is broken under the load

  Scenario: An instance is stopped while it starts
    When instance "north-2" is killed
    And the killed instance is started again and told to stop once it listens
    Then the killed instance ends with 0

  Scenario: An instance is stopped that can't become ready
    When instance "north-2" is killed
    And instance "centre-1" is killed for good
    And instance "south-1" is killed for good
    And the killed instance is started again and told to stop once it listens
    Then the killed instance ends with 0
