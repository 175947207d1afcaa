Feature: Routing items are merged by their own version
  Operators send items in any order, repeat calls and use several control instances.
  The configuration would depend on chance if the last call won instead of the highest
  version.

  Scenario: The result does not depend on the order of patches, repeats or drops
    Then any order and repetition of valid patches gives the same items

  Scenario: The highest version takes effect, whether it sets or drops
    A late patch of a lower version must not restore a dropped route.
    Given routing items with service "s" at version 1
    When route "a" at "/a/" to "s" is set at version 5
    And route "a" is dropped at version 7
    And route "a" at "/b/" to "s" is set at version 6
    Then route "a" is dropped at version 7
    When route "a" at "/c/" to "s" is set at version 8
    Then route "a" is at "/c/" at version 8

  Scenario: Other content under the stored version changes nothing and is acknowledged
    Given routing items with service "s" at version 1
    When route "a" at "/a/" to "s" is set at version 5
    And route "a" at "/b/" to "s" is set at version 5
    Then the last patch was accepted with 0 items changed
    And route "a" is at "/a/" at version 5

  Scenario Outline: An invalid patch takes no effect at all
    The valid route in the same patch must not be stored either.
    Given routing items with service "s" at version 1
    When route "a" at "/a/" to "s" is set at version 5
    And a patch with <fault> is sent
    Then the last patch was refused with code <code>
    And there is no route "new"

    Examples:
      | fault                    | code |
      | an unknown service       | 2702 |
      | a place that is taken    | 2703 |
      | one place twice          | 2703 |
      | weights that add up to 0 | 2701 |
      | a negative weight        | 2701 |
      | no attempt               | 2701 |
      | no timeout               | 2701 |
      | a prefix without a slash | 2701 |

  Scenario: An accepted patch is acknowledged again after its service was dropped
    An operator who repeats the call after a lost answer must not get an error.
    Given routing items with service "s" at version 1
    When route "a" at "/a/" to "s" is set at version 5
    And route "a" is dropped at version 6
    And service "s" is dropped at version 7
    And route "a" at "/a/" to "s" is set at version 5
    Then the last patch was accepted with 0 items changed

  Scenario: A service that a route names cannot be dropped
    Given routing items with service "s" at version 1
    When route "a" at "/a/" to "s" is set at version 5
    And service "s" is dropped at version 6
    Then the last patch was refused with code 2702

  Scenario: The route with the longest matching prefix is used
    A prefix matches whole path segments only.
    Given routing items with service "s" at version 1
    When route "short" at "/a/" to "s" is set at version 2
    And route "long" at "/a/b/" to "s" is set at version 2
    Then the path "/a/b/c" matches route "long"
    And the path "/a/bc" matches route "short"
    And the path "/b/" matches no route

  Scenario: A weighted split gives each service its part
    Then 1000 requests split 90 to 10 never differ from the weights by more than 1 request
    And a change of the weights resets the split

  Scenario: Items that an earlier release stored with an infinite time stay in force
    Guards against items that were acknowledged, and are gone after an update because
    the stored time is null.
    Given a replicated configuration
    When a committed patch sets a route, a service and limits with infinite times
    Then the route, the service and the limits are in force as they were sent
    When the configuration is restored from its snapshot
    Then the route, the service and the limits are in force as they were sent
