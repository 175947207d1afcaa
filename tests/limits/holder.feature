Feature: A holder requests shares under every limit that refuses a request
  A request to a target in another region counts under several limits. If a renewal
  requested a share of only the first one that is full, each further limit would cost
  one more renewal before the request can start.

  Scenario: A request without shares under three limits leads to requests for all three
    Given an idle holder without shares under a region, a link and the shift cap
    When a request is refused because it lacks a share
    Then the next renewal requests shares under all three limits

  Scenario: A refused request is not counted under any limit
    The request has a share under the first limit, but none under the other two.
    Given an idle holder without shares under a region, a link and the shift cap
    And the holder has a share of 5 under the region only
    When a request is refused because it lacks a share
    Then no request is in flight under any limit
