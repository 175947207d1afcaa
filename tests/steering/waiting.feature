Feature: A request waits for room a moment at most, and is refused with the time to come back

  Scenario: Room that comes free goes to a waiting commitment before a waiting check
    Given an entry whose only slot is taken
    When a check and then a commitment wait for it
    And the slot comes free
    Then the commitment got it and the check is refused with a time to come back

  Scenario: The wait ends long before the deadline
    Then a request that finds no room gives up after 0.25 of at most 1 second
    And a request with a deadline in 60 seconds gives up after 0.25 seconds
    Given an entry whose only slot is taken
    When a request with a deadline in 60 seconds finds no room
    Then it is refused at least 30 seconds before its deadline

  Scenario: Too many waiting requests are refused at once
    Given an entry whose only slot is taken
    When 70 requests ask for it at the same moment
    Then 6 are refused as "too_many_waiting" and each refusal is counted

  Scenario: Room offered to a caller that is gone goes to the next one
    Given an entry whose only slot is taken
    When two requests wait for it and the first caller is gone as the slot comes free
    Then the second request got the slot
