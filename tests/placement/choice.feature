Feature: Each request gets the target that knows its object, as long as it has room

  Scenario: Every entry instance sends an object to the same target
    Given 3 entry instances and 4 targets of 4 slots in their zone
    And 2 targets of 4 slots in another zone of the region
    Then all entry instances choose the same target for each of 200 objects
    And the objects are spread over all targets

  Scenario: A target that leaves moves only its own objects
    Given 1 entry instances and 4 targets of 4 slots in their zone
    When the target of most objects leaves
    Then only its objects moved

  Scenario: A target that is busy is passed over
    Given 1 entry instances and 2 targets of 2 slots in their zone
    When 4 requests wait at the target of object "o"
    And targets take 0.05 s for objects that they know and 0.06 s for others
    Then the next request for "o" goes to the other target

  Scenario: A short wait at the target that knows the object is better than a cold one
    Given 1 entry instances and 2 targets of 2 slots in their zone
    When 2 requests wait at the target of object "o"
    And targets take 0.05 s for objects that they know and 0.15 s for others
    Then the next request for "o" goes to the same target

  Scenario: A cold object is sent although it will be late, where few wait for it
    Given 1 entry instances and 1 targets of 2 slots in their zone
    When each target has 2 requests
    And targets take 0.1 s for objects that they know and 0.3 s for others
    Then the next request for "o" is sent

  Scenario: What can't be answered in time is refused at once, with a time to come back
    Given 1 entry instances and 2 targets of 2 slots in their zone
    When each target has 4 requests
    And targets take 0.2 s for objects that they know and 0.6 s for others
    Then the next request is refused with code 2902
    And the time to come back is between 0.05 and 1 s

  Scenario: Targets of the own region go before others, for what isn't spread
    Given 1 entry instances and 2 targets of 4 slots in their zone
    And 2 targets of 4 slots in another region
    And no object is spread over the regions
    Then no object goes to another region

  Scenario: Without a target in the region, another region serves
    Given 1 entry instances and 0 targets of 4 slots in their zone
    And 2 targets of 4 slots in another region
    Then every object goes to another region

  Scenario: Home regions are never left
    Given 1 entry instances and 0 targets of 4 slots in their zone
    And 2 targets of 4 slots in another region
    Then a request with home region "north" is refused with code 2901

  Scenario: A target whose connections fail rests until it is heard of again
    Given 1 entry instances and 1 targets of 4 slots in their zone
    When a connection to it fails at 10 s
    Then it is not chosen at 10.3 s
    When it renews itself at 10.4 s
    Then it is chosen at 10.5 s

  Scenario: A target at whose address another one answers rests until it renews itself

    Pattern: a target ends without a word, and its last renewal is told after that.

    Given 1 entry instances and 1 targets of 4 slots in their zone
    When another target answers at its address at 10 s
    And it is told of that it renewed itself at 9.7 s
    Then it is not chosen at 10.3 s
    When it renews itself at 10.4 s
    Then it is chosen at 10.5 s

  Scenario: A target that goes silent gets nothing more until it answers
    Given 1 entry instances and 2 targets of 4 slots in their zone
    When a request to the target of "o" has waited for 2 s
    Then the next request for "o" goes to the other target

  Scenario: Before the first answer a target has the time that is expected

    Pattern: all entry instances have just started, and requests take a second; targets
    that are passed over then cost their objects a slow answer elsewhere.

    Given 1 entry instances and 2 targets of 4 slots in their zone
    And requests that are worth most within 600 ms
    When a request to the target of "o" has waited for 1 s
    Then the next request for "o" goes to the same target

  Scenario: A target that fails often gets only trial requests
    Given 1 entry instances and 2 targets of 4 slots in their zone
    When 8 requests for "o" fail at its target
    Then at most 2 of 20 requests in a second go there

  Scenario: A target that others overtake gets only trial requests if nothing comes from it
    Given 1 entry instances and 2 targets of 4 slots in their zone
    When 8 requests for "o" are overtaken at its target
    Then at most 2 of 20 requests in a second go there

  Scenario: A target that others overtake stays in use while it answers

    Pattern: a target loses a part of its answers; its other callers get theirs.

    Given 1 entry instances and 2 targets of 4 slots in their zone
    When 8 requests for "o" are overtaken at its target, which answers others meanwhile
    Then the next request for "o" goes to the same target

  Scenario: When all targets fail often, none is passed over for it
    Given 1 entry instances and 4 targets of 4 slots in their zone
    When all targets shed half of 400 requests with slots free
    Then each object still goes to the target that knows it

  Scenario: No interleaving gives a cold target more than all may send together
    Then 300 random walks of entry instances keep the limit of a cold target
