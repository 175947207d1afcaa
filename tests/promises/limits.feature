Feature: No region is overloaded and no shift goes over its cap

  Scenario: An entry is frozen past its leases and wakes
    Given a deployment "a small deployment with a further entry" is running
    And the contract of rackhaven is in force with capacity=8, cap=4, link=4
    And today's warm targets of cabinet-status of rackhaven
    When 120 reads a second of 100 ms arrive in north
    And instance "north-2" is frozen
    And 8 seconds pass
    And the frozen instance wakes
    And 4 seconds pass
    And the load ends
    Then no region ran over its capacity and no shift over its cap
    And no promise is broken under the load
    And at least 100 requests got a whole answer

  Scenario: The targets of a region are lost
    Given a deployment "a small deployment with a further entry" is running
    And the contract of rackhaven is in force with capacity=10, cap=6, link=6
    And today's warm targets of cabinet-status of rackhaven
    When 40 reads a second of 100 ms arrive in each region
    And the targets in north are killed
    And 6 seconds pass
    And the targets in north are started again
    And 6 seconds pass
    And the load ends
    Then no region ran over its capacity and no shift over its cap
    And no promise is broken under the load
    And at least 400 requests got a whole answer

  Scenario: Measurements stop, mislead and come back
    Given a deployment "a small deployment with a further entry" is running
    And the contract of rackhaven is in force with capacity=10, cap=6, link=6
    And today's warm targets of cabinet-status of rackhaven
    When 40 reads a second of 100 ms arrive in each region
    And all targets stop reporting their load
    And 4 seconds pass
    And the targets in centre claim that they are idle, and those in south that they are full
    And 4 seconds pass
    And the load ends
    Then no region ran over its capacity and no shift over its cap
    And no promise is broken under the load
    And at least 600 requests got a whole answer

  Scenario: The leader is killed and an entry is frozen, together
    Given a deployment "a small deployment with a further entry" is running
    And the contract of rackhaven is in force with capacity=8, cap=4, link=4
    And today's warm targets of cabinet-status of rackhaven
    When 120 reads a second of 100 ms arrive in north
    And instance "north-2" is frozen
    And instance "the leader" is killed during the load
    And 8 seconds pass
    And the frozen instance wakes
    And 4 seconds pass
    And the load ends
    Then no region ran over its capacity and no shift over its cap
    And no promise is broken under the load
