Feature: What an entry of a routed deployment spends on a request

  Scenario: The measurement names the parts, and their shares add up
    When the cost of an entry is measured with 200 requests
    Then a request takes some processor time
    And the slices "forwarding, placement" and the library "aiohttp" have shares
    And the shares add up to 1
