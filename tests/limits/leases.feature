Feature: Leased shares follow demand and end on time

  Scenario: Static shares of the seats add up to what is reserved
    Then the static shares of 4 seats of a limit from 0 to 200 add up to a quarter of it
    And an entry of another region or in a fifth seat has none

  Scenario: A frozen entry that wakes after its lease ended starts nothing on it
    Given holders "n0" and "n1" of a region capacity of 40
    When "n0" uses 20 and renews until it is served
    And "n0" takes a permit that it has not sent yet
    And 6 seconds pass for the holders
    Then "n0" may start 0 more
    And "n0" may not send on the permit that it took
    When "n0" renews
    Then "n0" may send on the permit that it took

  Scenario: The lease of an answer that comes late is counted from before its renewal
    Given holders "n0" and "n1" of a region capacity of 40
    When "n0" uses 20 and renews until it is served
    And the answer to a renewal of "n0" takes 4 seconds
    Then "n0" may start some more
    When 2 seconds pass for the holders
    Then "n0" may start 0 more
    When the answer to a renewal of "n0" takes 6 seconds
    Then "n0" may start 0 more

  Scenario: Unused share moves to where demand is
    Given holders "n0" and "n1" of a region capacity of 40
    When "n0" uses 20 and renews until it is served
    And "n0" ends all its requests
    And both renew each second for 2 seconds while "n1" wants 25
    Then "n1" has at least 25 in use

  Scenario: A lowered limit shrinks shares before anything grows
    Given holders "n0" and "n1" of a region capacity of 40
    When "n0" uses 20 and renews until it is served
    And the region capacity is lowered to 16
    And "n0" renews
    Then "n0" may start 0 more
    When "n1" wants 10 and renews
    Then "n1" has at most 1 in use
    When "n0" ends all its requests
    And "n0" renews
    And "n1" wants 10 and renews
    Then the use of both is at most 16

  Scenario: A new leader renews what is held but lets nothing grow before it knows all
    Given holders "n0" and "n1" of a region capacity of 40
    When "n0" uses 20 and renews until it is served
    And a new leader is elected
    And "n1" wants 30 and renews
    Then "n1" has at most 3 in use
    When "n0" renews
    Then "n0" keeps the share for its 20
    When both renew each second for 2 seconds while "n1" wants 30
    Then "n1" has at least 5 in use
    And the use of both is at most 40

  Scenario: The share of a lost holder is held back until its requests have ended
    Given holders "n0" and "n1" of a region capacity of 40
    When "n0" uses 20 and renews until it is served
    And 6 seconds pass for the holders
    And "n1" wants 40 and renews
    Then "n1" has at most 15 in use
    When 2 seconds pass for the holders
    And "n1" wants 40 and renews
    Then "n1" has at least 25 in use

  Scenario: A replacement under the same name gets no part of what its predecessor holds
    Given holders "n0" and "n1" of a region capacity of 40
    When "n0" uses 20 and renews until it is served
    And "n0" is replaced while its predecessor goes on
    And the new "n0" wants 30 and renews
    Then the use of the new "n0", its predecessor and "n1" is at most 40

  Scenario: Needs of a region's own entries go before those of others
    Then 12 divided among own needs of 10 and others' wants of 8 gives 10 and 2
    And 2 divided among 9 holders that want more goes to all in turn

  Scenario: Shifted traffic grows by one step in each interval, and shrinks so
    Then a shift cap of 30 in steps of 10 allows 10, 20, 30 and 30 under full use
    And it allows 20 and 10 when use ends

  Scenario: Only a confirmed leader grants, and a follower passes on once
    Given a control instance that believes to lead but finds no majority
    Then a renewal to it is refused
    Given a control instance that follows another
    Then a renewal to it is passed on, and a passed on one is refused
