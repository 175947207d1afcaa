Feature: An entry stops without breaking off requests in flight

  Guards against failed requests when an entry instance is restarted or removed.

  Scenario: A drain waits for the requests in flight

    The entry would otherwise close a connection whose response is still to come.

    Given a dispatch entry
    And a raw target "t1" that answers after a while
    When a request is in flight at the dispatch entry
    And the dispatch entry stops accepting and drains
    Then the dispatch caller got status 200 and "t1 /slow"
    And nothing is in flight at the dispatch entry
    And the dispatch entry accepts no connection

  Scenario: A request on an open connection is served after the entry stopped accepting

    The caller may have sent it before it could know that the entry stops.

    Given a dispatch entry
    And a raw target "t1" that answers
    When a caller sends a request on an open connection after the entry stopped accepting
    Then the dispatch caller got status 200 and "t1 /again"

  Scenario: Two stop calls during a drain do not break off requests

    A process may get its stop signal more than once.

    Given a dispatch entry
    And a raw target "t1" that answers after a while
    When a request is in flight at the dispatch entry
    And the dispatch entry is stopped twice during its drain
    Then the dispatch caller got status 200 and "t1 /slow"
