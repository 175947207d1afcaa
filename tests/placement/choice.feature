Feature: A request goes to the target that knows its object, as long as it has capacity

  A target that has handled a request for an object responds faster to further ones.
  Guards against entry instances that send the same object to different targets, or to
  one that is overloaded, unreachable, silent, failing or cold.

  Scenario: Every entry instance sends an object to the same target
    Given 3 entry instances and 4 targets of 4 slots in their zone
    And 2 targets of 4 slots in another zone of the region
    Then all entry instances choose the same target for each of 200 objects
    And the objects are distributed over all targets

  Scenario: Removing a target moves only its own objects
    Given 1 entry instances and 4 targets of 4 slots in their zone
    When the target of most objects is removed
    Then only its objects moved

  Scenario: A busy target is passed over
    Given 1 entry instances and 2 targets of 2 slots in their zone
    When 4 requests are pending at the target of object "o"
    And targets take 0.05 s for objects that they know and 0.06 s for others
    Then the next request for "o" goes to the other target

  Scenario: A short wait is preferred to a target that does not know the object
    Given 1 entry instances and 2 targets of 2 slots in their zone
    When 2 requests are pending at the target of object "o"
    And targets take 0.05 s for objects that they know and 0.15 s for others
    Then the next request for "o" goes to the same target

  Scenario: A request that will be late is still sent to a target with a short queue
    Given 1 entry instances and 1 targets of 2 slots in their zone
    When each target has 2 requests
    And targets take 0.1 s for objects that they know and 0.3 s for others
    Then the next request for "o" is sent

  Scenario: If all queues are too long, a request is refused with a retry time
    Given 1 entry instances and 2 targets of 2 slots in their zone
    When each target has 4 requests
    And targets take 0.2 s for objects that they know and 0.6 s for others
    Then the next request is refused with code 2902
    And the retry time is between 0.05 and 1 s

  Scenario: Objects without global affinity stay in the own region
    Given 1 entry instances and 2 targets of 4 slots in their zone
    And 2 targets of 4 slots in another region
    And no object has global affinity
    Then no object goes to another region

  Scenario: Requests go to another region if the own one has no target
    Given 1 entry instances and 0 targets of 4 slots in their zone
    And 2 targets of 4 slots in another region
    Then every object goes to another region

  Scenario: A request with home regions goes to no other region
    Given 1 entry instances and 0 targets of 4 slots in their zone
    And 2 targets of 4 slots in another region
    Then a request with home region "north" is refused with code 2901

  Scenario: After a failed connection a target is not used until its next renewal
    Given 1 entry instances and 1 targets of 4 slots in their zone
    When a connection to it fails at 10 s
    Then it is not chosen at 10.3 s
    When it renews its registration at 10.4 s
    Then it is chosen at 10.5 s

  Scenario: A target whose address is taken is not used until its next renewal

    A target ends without notice, another one takes its address, and the last renewal of
    the first one arrives after that.

    Given 1 entry instances and 1 targets of 4 slots in their zone
    When another target responds at its address at 10 s
    And its renewal of 9.7 s arrives
    Then it is not chosen at 10.3 s
    When it renews its registration at 10.4 s
    Then it is chosen at 10.5 s

  Scenario: A silent target gets no more requests until it responds
    Given 1 entry instances and 2 targets of 4 slots in their zone
    When a request to the target of "o" has been pending for 2 s
    Then the next request for "o" goes to the other target

  Scenario: Before its first response a target is not silent within the expected time

    All entry instances have just started, and requests take a second. If the targets
    counted as silent, their objects would get slow responses from other targets.

    Given 1 entry instances and 2 targets of 4 slots in their zone
    And requests with a target latency of 600 ms
    When a request to the target of "o" has been pending for 1 s
    Then the next request for "o" goes to the same target

  Scenario: A failing target gets only probe requests
    Given 1 entry instances and 2 targets of 4 slots in their zone
    When 8 requests for "o" fail at its target
    Then at most 2 of 20 requests in a second go there

  Scenario: A target that loses to hedges and sends no response gets only probe requests
    Given 1 entry instances and 2 targets of 4 slots in their zone
    When 8 requests for "o" are overtaken at its target
    Then at most 2 of 20 requests in a second go there

  Scenario: A target that loses to hedges stays in use while it responds to others

    Some responses of a target are lost; other callers get theirs.

    Given 1 entry instances and 2 targets of 4 slots in their zone
    When 8 requests for "o" are overtaken at its target, which answers others meanwhile
    Then the next request for "o" goes to the same target

  Scenario: Failing targets are not passed over if all targets fail
    Given 1 entry instances and 4 targets of 4 slots in their zone
    When all targets reject half of 400 requests while they have free slots
    Then each object still goes to the target that knows it

  Scenario: Entry instances together never exceed the limit of a cold target
    Then 300 random sequences of requests and freezes keep the limit of a cold target
