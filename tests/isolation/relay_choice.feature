Feature: A request is relayed to an entry instance that may serve it and probably can

  Guards against relays to a region that the body of a request must not reach, to
  neighbours that are isolated too, and by all to the same neighbour.

  Background:
    Given entry instances
      | name | region | zone    |
      | own  | north  | north-a |
      | n2   | north  | north-a |
      | n3   | north  | north-b |
      | n4   | north  | north-b |
      | c1   | centre | centre-a |
      | s1   | south  | south-a |

  Scenario: The own region comes first, each instance about as often
    When 900 requests of a route for all regions are relayed
    Then "n2, n3, n4" are chosen first, each at least 200 times
    And no request is relayed to more than 3 instances

  Scenario: A neighbour of the own zone refused
    Given "n2" refused a relay
    When 900 requests of a route for all regions are relayed
    Then "n3, n4" are chosen first, each at least 300 times

  Scenario: The whole region but this instance refused
    Given "n2, n3, n4" refused a relay
    When 900 requests of a route for "north, centre" are relayed
    Then "c1" are chosen first, each at least 900 times

  Scenario: A route of the own region only
    Given "n2, n3, n4" refused a relay
    When 900 requests of a route for "north" are relayed
    Then no instance is chosen

  Scenario Outline: Look-ups go on naming an instance of the region
    Given the look-ups name "<named>"
    Then an isolated instance <does> withdraw

    Examples:
      | named      | does     |
      | own, n2    | may      |
      | own, c1    | must not |
      | own        | must not |
