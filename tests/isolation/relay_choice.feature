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

  Scenario Outline: A relayed request is sent to no more targets than its route allows
    Guards against requests that ran at 3 targets of 2 allowed: the instances that a
    request was relayed to counted its attempts anew.
    Given <kind> request that may be sent to <allowed> targets, with <tried> tried and <trying> being tried
    When it is relayed to "b, c, d" and each relay is lost
    Then the relays were allowed "<attempts>" targets
    And no further target may be tried here

    Examples: idempotent requests keep one attempt for another relay
      | kind             | allowed | tried | trying | attempts |
      | an idempotent    | 2       | 0     | 1      | 1        |
      | an idempotent    | 2       | 0     | 0      | 1, 1     |
      | an idempotent    | 3       | 0     | 0      | 2, 1     |
      | an idempotent    | 2       | 1     | 1      | none     |
      | a non-idempotent | 2       | 0     | 0      | 2        |

  Scenario Outline: An instance makes only the attempts that a relay leaves
    Given a relayed request of a route with 3 attempts that states "<left>" attempts
    Then it may be sent to <allowed> targets

    Examples: as stated, at least one, and the route's where nothing valid is stated
      | left  | allowed |
      | 1     | 1       |
      | 2     | 2       |
      | 7     | 3       |
      | 0     | 1       |
      | words | 3       |
      | none  | 3       |

  Scenario Outline: A relay keeps to the home regions of the workspace and of the route
    Guards against the body of a workspace's request that leaves its home regions while
    an instance is isolated.
    Given a request of a route for "<route>" and of a workspace for "<workspace>"
    When it is to be relayed from "north" to instances of "south" and "west"
    Then it may be relayed to "<regions>"

    Examples:
      | route       | workspace   | regions     |
      | all         | all         | south, west |
      | all         | north       | none        |
      | all         | north, west | west        |
      | south       | all         | south       |
      | south, west | west, east  | west        |
