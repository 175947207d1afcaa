Feature: An object has one target in the whole deployment where the way there is short

  Pattern: each object costs a slow answer at each target that learns it; on heavy days
  that is most of the work.

  Scenario: All entries choose the same target for an object, wherever they run
    Given entries in "north, centre, south" and 4 targets of 4 slots in each
    Then all of them choose the same target for each of 300 objects
    And each region serves 25 to 42 percent of the objects

  Scenario: Regions serve objects by their targets
    Given entries in "north, centre, south" and 2, 6 and 6 targets of 4 slots there
    Then all of them choose the same target for each of 300 objects
    And region "north" serves 9 to 20 percent of the objects

  Scenario: Requests without an object stay in the region while it has room
    Given entries in "north, centre, south" and 4 targets of 4 slots in each
    Then 50 requests without an object stay in the region of the entry

  Scenario: A target that leaves moves no objects but its own
    Given entries in "north, centre, south" and 4 targets of 4 slots in each
    When a target leaves
    Then each object of another target is served where it was before

  Scenario: Where the way to other regions is too long, objects come back, slowly
    Given entries in "north, centre, south" and 4 targets of 4 slots in each
    When answers from other regions take 150 ms longer where 250 ms are wanted, for 30 s
    Then no object of the entry in "north" goes to another region
    And they came back in 10 s or more

  Scenario: A home region binds objects that are spread
    Given entries in "north, centre, south" and 4 targets of 4 slots in each
    Then with home region "centre" all objects are served there

  Scenario: Between two windows no more than the allowed part changes region
    Then 300 random sequences of ways and wishes never move more than 0.15 of the objects
