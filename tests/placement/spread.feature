Feature: An object has one target in all regions if delays between them are short

  The first response for an object is slow at each target, which under heavy load is
  most of the work. Guards against more targets for an object than necessary, and
  against objects that move between regions faster than allowed.

  # Guards against an adjustment that fails, and is never made again, because a request
  # waited for longer than its target latency before a target was chosen for it.
  Scenario: A request that is late already doesn't count
    Then global affinity is adjusted after a request without time left

  Scenario: Entry instances in all regions choose the same target for an object
    Given entry instances in "north, centre, south" and 4 targets of 4 slots in each
    Then all of them choose the same target for each of 300 objects
    And each region serves 25 to 42 percent of the objects

  Scenario: A region serves objects in proportion to its targets
    Given entry instances in "north, centre, south" and 2, 6 and 6 targets of 4 slots there
    Then all of them choose the same target for each of 300 objects
    And region "north" serves 9 to 20 percent of the objects

  Scenario: Requests without an object stay in the region while it has capacity
    Given entry instances in "north, centre, south" and 4 targets of 4 slots in each
    Then 50 requests without an object stay in the region of the instance

  Scenario: Removing a target moves only its own objects
    Given entry instances in "north, centre, south" and 4 targets of 4 slots in each
    When a target is removed
    Then each object of another target is served where it was before

  Scenario: If delays are too long, objects return to each region in limited steps
    Given entry instances in "north, centre, south" and 4 targets of 4 slots in each
    When responses from other regions take 150 ms longer at a target latency of 250 ms, for 30 s
    Then no object of the entry instance in "north" goes to another region
    And the last of them returned after 10 s or more

  Scenario: Home regions restrict objects with global affinity too
    Given entry instances in "north, centre, south" and 4 targets of 4 slots in each
    Then with home region "centre" all objects are served there

  Scenario: The share changes no more than allowed from one window to the next
    Then 300 random sequences of delays and target latencies never move more than 0.15 of the objects
