Feature: Requests that can bear the way to another region leave a region without capacity

  Load: a third of the callers are in a region with a tenth of the targets, and ask for two
  kinds of requests of one service. Guards against requests that leave the region although
  they are late elsewhere for certain, while others that would be in time there stay.

  Scenario Outline: The tolerant requests leave first, and the sum is as planned
    Given a share of <tolerant> of the requests is in time in other regions
    When a share of <planned> of all requests should leave
    Then <first> of the tolerant requests and <others> of the others leave
    And <planned> of all requests leave

    Examples:
      | tolerant | planned | first | others |
      | 0.25     | 0.2     | 0.8   | 0.0    |
      | 0.25     | 0.4     | 1.0   | 0.2    |
      | 1.0      | 0.4     | 0.4   | 0.4    |
      | 0.0      | 0.4     | 1.0   | 0.4    |
      | 0.5      | 1.0     | 1.0   | 1.0    |

  Scenario: A connection that must be opened counts
    Then a request with 250 ms for work of 120 ms is not in time 70 ms further away
    And a request with 400 ms for work of 156 ms is in time 70 ms further away
