Feature: Connections are kept ready to targets of other regions that are used often

  Pattern: requests that are spread over all regions, from few and from many entries.

  Scenario Outline: Only where one is soon used, and targets take as many
    Given 4 targets in the own region and 8 in others, of up to <limit> connections
    When callers ask for the service <per_s> times a second at each of <entries> entries
    Then a connection is kept ready to <ready> targets, none in the own region

    Examples: used within 5 s, or not
      | limit | per_s | entries | ready |
      | 100   | 2.4   | 8       | 8     |
      | 100   | 2.3   | 8       | 0     |
      | 100   | 0     | 8       | 0     |

    Examples: a quarter of the connections of a target at most
      | limit | per_s | entries | ready |
      | 100   | 10    | 25      | 8     |
      | 100   | 10    | 26      | 0     |

  Scenario: None to a target that is down or cold
    Given 4 targets in the own region and 8 in others, of up to 100 connections
    When one target of another region is down and another one cold
    And callers ask for the service 10 times a second at each of 8 entries
    Then a connection is kept ready to 6 targets, none in the own region

  Scenario Outline: None where the way to other regions is hardly felt
    Given 4 targets in the own region and 8 in others, of up to 100 connections
    When answers take 100 ms, and <far> ms from other regions, of 250 ms that are wanted
    And callers ask for the service 10 times a second at each of 8 entries
    Then a connection is kept ready to <ready> targets, none in the own region

    Examples:
      | far | ready |
      | 137 | 0     |
      | 138 | 8     |

  Scenario: None where nothing leaves the region
    Given 4 targets in the own region and 8 in others, of up to 100 connections
    When answers from other regions come too late
    And callers ask for the service 10 times a second at each of 8 entries
    Then a connection is kept ready to 0 targets, none in the own region
