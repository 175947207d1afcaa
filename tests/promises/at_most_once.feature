Feature: A request that may not be repeated runs at most once

  Background:
    Given a deployment "a small deployment with a further entry" is running behind proxies
    And the contract of rackhaven is in force

  Scenario: The entry is killed between the claim of a key and the dispatch
    Given one target of site-access of rackhaven in each region
    When instance "north-2" stops hearing control
    And a booking with the key "order-1" is begun through north-2
    And the key "order-1" is claimed
    And instance "north-2" is killed
    And the cut is healed
    Then the key "order-1" through south-1 is never answered as a first run
    And the booking "order-1" ran 0 times

  Scenario: The entry is killed between dispatch and answer
    Given one target of site-access of rackhaven in each region
    When a booking of 2000 ms with the key "order-2" is begun through north-2
    And the booking "order-2" runs at a target
    And instance "north-2" is killed
    Then the key "order-2" through south-1 is never answered as a first run
    And the booking "order-2" ran 1 times

  Scenario: The same key through every entry at once
    Given one target of site-access of rackhaven in each region
    When a booking with the key "order-3" is sent through every entry at once
    Then the booking "order-3" ran 1 times
    And the key "order-3" through each entry gets the one first answer

  Scenario: A target closes the connection after reading a PUT
    Given a single target of site-access of rackhaven, in north
    When the target answers well, then closes after reading each request
    And a PUT "order-4" without a key is sent through north-2
    Then the caller is told that the outcome of "order-4" is unknown
    And the booking "order-4" ran 1 times
    When a PUT "order-5" with a key is sent through north-2
    Then the caller is told that the outcome of "order-5" is unknown
    And the booking "order-5" ran 1 times

  Scenario: A target answers after the time-out
    Given a single target of site-access of rackhaven, in north
    When the target answers 1500 ms late
    And a booking "order-6" with a deadline of 500 ms is sent through north-2
    Then the caller is told that the outcome of "order-6" is unknown
    And the key "order-6" through south-1 is never answered as a first run
    And the booking "order-6" ran 1 times

  Scenario: Open connections to a target go silent while new ones work
    Given a single target of site-access of rackhaven, in north
    When 5 bookings are sent through north-2
    And the target's connections from the entries go silent
    And 5 further bookings are sent through north-2
    Then no promise of those bookings is broken

  Scenario: Entries are killed and targets misbehave under load
    Given one target of each service of rackhaven in each region
    When bookings and reads arrive all the time
    And a target of each region misbehaves in its own way
    And instance "north-2" is killed during the load
    And instance "the leader" is killed during the load
    And the load ends
    Then no promise is broken under the load
    And most requests got a whole answer
