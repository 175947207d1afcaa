Feature: An entry stops without cutting off a request in flight

  Scenario: Requests in flight end before the drain does
    Given a dispatch entry
    And a raw target "t1" that answers after a while
    When a request is in flight at the dispatch entry
    And the dispatch entry stops accepting and drains
    Then the dispatch caller got status 200 and "t1 /slow"
    And nothing is in flight at the dispatch entry
    And the dispatch entry accepts no connection

  Scenario: A request on an open connection is served while the entry is leaving
    Given a dispatch entry
    And a raw target "t1" that answers
    When a caller with an open connection asks again after the entry stopped accepting
    Then the dispatch caller got status 200 and "t1 /again"

  Scenario: A stop that is sent twice, and during a drain, is graceful
    Given a dispatch entry
    And a raw target "t1" that answers after a while
    When a request is in flight at the dispatch entry
    And the dispatch entry is stopped twice during its drain
    Then the dispatch caller got status 200 and "t1 /slow"
