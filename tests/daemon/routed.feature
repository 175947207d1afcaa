Feature: The product's own program routes by hosts and path prefixes

  Scenario: Routes that are applied with the command line serve callers
    Given a routed deployment of three instances with both roles
    And 3 routed targets of service "stock"
    When the routing items at version 1 are applied
    Then a caller is told of 3 entries, and each serves "shop.example" "/stock/a"
    And "mothshunt routing show" shows route "reads" at version 1
    And "mothshunt targets list" shows 3 targets that serve
    And "mothshunt status" shows the instances "centre-1, north-1, south-1"
    When the routing items at version 0 are applied
    Then "mothshunt routing show" shows route "reads" at version 1
    When "mothshunt routing drop-route reads --version 2" is run on the routed deployment
    Then each entry soon answers "shop.example" "/stock/a" with 404

  Scenario: An evacuated zone gets nothing until it is taken back
    Given a routed deployment of three instances with both roles
    And 3 routed targets of service "stock"
    When the routing items at version 1 are applied
    Then a caller is told of 3 entries, and each serves "shop.example" "/stock/a"
    When "mothshunt zone evacuate north-a" is run on the routed deployment
    Then after 1 s the routed target 1 gets none of 60 requests
    And "mothshunt zone list" names "north-a"
    When "mothshunt zone take-back north-a" is run on the routed deployment
    Then after 1 s the routed target 1 gets some of 60 requests

  Scenario: A route of an unknown service is refused with its code
    Given a routed deployment of three instances with both roles
    When a route to the unknown service "nowhere" is applied
    Then the routed command exits with 3 and complains "2702 route_of_unknown_service"

  Scenario: Separate roles; an instance that is told to stop ends with exit code 0
    Given a routed deployment of three control instances and two entries
    And 3 routed targets of service "stock"
    When the routing items at version 1 are applied
    Then a caller is told of 2 entries, and each serves "shop.example" "/stock/a"
    And all processes of the routed deployment stop with exit code 0
