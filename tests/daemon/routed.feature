Feature: The product's own program routes by hosts and path prefixes

  Scenario: Routes that are applied with the command line serve callers
    Given a routed deployment of three instances with both roles
    And 3 routed targets of service "stock"
    When the routing items at version 1 are applied
    Then a caller is told of 3 entries, and each serves "shop.example" "/stock/a"
    And "mothshunt routing show" shows route "reads" at version 1
    And "mothshunt targets list" shows 3 targets that serve
    And "mothshunt targets compare" shows 3 targets, the same on 3 instances
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

  Scenario: Instances with both roles accept keys and tell unknown ones for sure
    They follow the replicated log themselves, without the beats of other instances.
    Given a routed deployment of three instances with both roles
    And 3 routed targets of service "stock"
    When the routing items at version 1 are applied
    Then a caller is told of 3 entries, and each serves "shop.example" "/stock/a"
    When the workspace "florist" with the key "secret" is applied
    Then within 2.5 s each entry answers "/stock/a" with the key "secret" with 200
    And within 2.5 s each entry answers "/stock/a" with the key "wrong" with 401
    And "mothshunt explain" tells that each entry has "rejected for its key"
    And "mothshunt routing workspaces" shows "florist" and no "secret"

  Scenario: A route of an unknown service is refused with its code
    Given a routed deployment of three instances with both roles
    When a route to the unknown service "nowhere" is applied
    Then the routed command exits with 3 and complains "2702 route_of_unknown_service"

  Scenario: The logs explain a request that was refused for want of room
    Given a routed deployment of three instances with both roles
    And 1 routed targets of service "stock" with 1 slots that take 0.5 s
    When the routing items at version 1 are applied
    Then a caller is told of 3 entries, and each serves "shop.example" "/stock/a"
    When 12 orders are sent to one entry at once
    Then one of the orders was answered 503 with code 2902
    When 2.5 s pass at the routed deployment
    Then "mothshunt explain" tells of it: "refused"
    And it tells what was believed: "configuration in force", "attached", "placement"

  Scenario: The logs explain a request whose outcome is unknown after a send
    Given a routed deployment of three instances with both roles
    And 1 routed targets of service "stock"
    When the routing items at version 1 are applied
    Then a caller is told of 3 entries, and each serves "shop.example" "/stock/a"
    When target 1 hangs and order 0 is sent to it
    Then one of the orders was answered 504 with code 2014
    And "mothshunt explain" tells of it: "attempt failed", "refused"
    And it tells what was believed: "configuration in force", "target changed"

  Scenario: The logs explain a request that was sent to a target that had left
    Given a routed deployment of three instances with both roles
    And 3 routed targets of service "stock"
    When the routing items at version 1 are applied
    Then a caller is told of 3 entries, and each serves "shop.example" "/stock/a"
    When another target has taken over the address of target 1 and orders are sent to the entry next to it
    Then each order was answered 200, or 503 with code 2803 where no retry was left
    And "mothshunt explain" of one of them tells of "attempt failed" with "target_misdirected"
    And it tells what was believed: "configuration in force", "target changed"

  Scenario: Separate roles; an instance that is told to stop ends with exit code 0
    Given a routed deployment of three control instances and two entries
    And 3 routed targets of service "stock"
    When the routing items at version 1 are applied
    Then a caller is told of 2 entries, and each serves "shop.example" "/stock/a"
    And each entry instance tells callers of the same 2 entries
    And an entry instance answers an operator that it is no control instance
    And all processes of the routed deployment stop with exit code 0
