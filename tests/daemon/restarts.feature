Feature: A restart brings nothing back, and silence takes nothing away

  Pattern: processes of the system that are killed and started again while targets leave
  and keys are withdrawn, and targets whose reports don't come for a while.

  Scenario Outline: A target that left gets nothing after restarts, late renewals or not
    Given a routed deployment of three control instances and two entries
    And 3 routed targets of service "stock"
    When the routing items at version 1 are applied
    Then a caller is told of 2 entries, and each serves "shop.example" "/stock/a"
    When target 1 leaves while processes are killed and started again by seed <seed>
    Then target 1 gets none of 100 requests, and all are answered

    Examples: seeds
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: A key that was withdrawn opens nothing after a restart
    Given a routed deployment of three instances with both roles
    And an operator "night-shift" with a key of its own
    Then the key opens each control instance
    When the key is withdrawn while "<down>" is down
    And "<down>" is started again <company>
    Then the key opens it at no moment of 4 s

    Examples: with a majority and alone
      | down     | company               |
      | north-1  | while the others run  |
      | north-1  | while no other runs   |
      | centre-1 | while the others run  |

  Scenario Outline: Running work of a target that is silent is not begun again, nor cut off
    Given a routed deployment of three control instances and two entries
    And 3 routed targets of service "stock"
    When the routing items at version 1 are applied with a timeout of 9000 ms
    Then a caller is told of 2 entries, and each serves "shop.example" "/stock/a"
    When a <kind> takes 5 s at its target, which is silent meanwhile, <besides>
    Then it is answered 200, and ran once at all targets together

    Examples: reads and orders, with the instances that tell of targets silent too
      | kind  | besides                                  |
      | read  | with nothing else                        |
      | order | with nothing else                        |
      | order | with a control instance frozen for 4 s   |
