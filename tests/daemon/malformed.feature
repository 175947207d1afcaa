Feature: Malformed input of anybody takes no process down

  Pattern: one malformed message, or one error that nobody foresaw.

  Scenario Outline: All ports of a routed deployment under seeded malformed input
    Given a routed deployment of three control instances and two entries
    And 2 routed targets of service "stock"
    When the routing items at version 1 are applied
    Then a caller is told of 2 entries, and each serves "shop.example" "/stock/a"
    When <count> malformed inputs by seed <seed> are sent to each port of each process
    Then all processes run on, and each entry still serves "shop.example" "/stock/a"
    And all processes of the routed deployment stop with exit code 0

    Examples: seeds
      | seed | count |
      | 1    | 60    |
      | 2    | 60    |
