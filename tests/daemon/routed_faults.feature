Feature: A routed deployment goes on under faults between its instances and of their disks

  Pattern: streams that go silent without closing, in one direction or in both, and a
  disk that is full before the log is founded.

  Scenario Outline: An entry that hears of nothing serves on, and catches up
    Given a routed deployment of three control instances and two entries, with proxies
    And 3 routed targets of service "stock"
    When the routing items at version 1 are applied
    Then a caller is told of 2 entries, and each serves "shop.example" "/stock/a"
    When nothing passes <way> "north-entry" and the control instances
    And 6 s pass at the routed deployment
    And "mothshunt routing drop-route orders --version 2" is run on the routed deployment
    Then the entry "north-entry" serves "shop.example" "/stock/a" at once
    And the entry "centre-entry" soon answers "shop.example" "/orders/a" with 404
    When the streams of the routed deployment pass again
    Then the entry "north-entry" soon answers "shop.example" "/orders/a" with 404
    And the entry "north-entry" serves "shop.example" "/stock/a" at once

    Examples:
      | way                |
      | towards            |
      | from               |
      | in both ways among |

  Scenario: All open streams go silent for good while new ones pass
    Given a routed deployment of three control instances and two entries, with proxies
    And 3 routed targets of service "stock"
    When the routing items at version 1 are applied
    Then a caller is told of 2 entries, and each serves "shop.example" "/stock/a"
    When all open streams of the routed deployment go silent for good
    And "mothshunt routing drop-route orders --version 2" is run on the routed deployment
    Then each entry soon answers "shop.example" "/orders/a" with 404
    And "mothshunt targets compare" shows 3 targets, the same on 3 instances

  Scenario: The others found the log while the disk of one control instance is full
    Given a routed deployment of three instances with both roles, the disk of "south-1" full
    And 3 routed targets of service "stock"
    When the routing items at version 1 are applied
    Then a caller is told of 2 entries, and each serves "shop.example" "/stock/a"
    And the routed process of "south-1" ended with exit code 3

  Scenario: A control instance whose disk was full at the founding comes back
    Given a routed deployment of three instances with both roles, the disk of "south-1" full
    And 3 routed targets of service "stock"
    Then the routed process of "south-1" ended with exit code 3
    When the routed process of "south-1" starts again with room on its disk
    And the routing items at version 1 are applied
    Then a caller is told of 3 entries, and each serves "shop.example" "/stock/a"
