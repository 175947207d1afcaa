Feature: A holder asks for all the room that a request lacks

  Scenario: A request that lacks room under three limits asks for all of them at once
    Given an idle holder of shares of a region, a link and the shift cap
    When a request is refused for want of room
    Then the next renewal asks for room under all three limits

  Scenario: A refused request takes no room under any limit
    Given an idle holder of shares of a region, a link and the shift cap
    And the holder has a share of 5 of the region only
    When a request is refused for want of room
    Then nothing is in use under any limit
