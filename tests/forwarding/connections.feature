Feature: A connection to a target is ready before the request that uses it

  Pattern: the first requests to targets of other regions, where opening a connection
  takes a round trip that a caller would wait for.

  Scenario: A connection that is kept ready carries the first request
    Given a routed entry
    And a routed target "t1" that answers
    When a connection to "t1" is kept ready
    And a routed caller sends GET "/reads/a"
    Then the routed caller got status 200
    And "t1" saw 1 connection

  Scenario: No second connection is opened where one is open
    Given a routed entry
    And a routed target "t1" that answers
    When a connection to "t1" is kept ready 5 times
    Then "t1" saw 1 connection

  Scenario: A connection that was idle for long is replaced
    Given a routed entry
    And a routed target "t1" that answers
    When a connection to "t1" is kept ready
    And the idle connections of the routed entry are 4 s old
    And a connection to "t1" is kept ready
    Then "t1" saw 2 connections

  Scenario: A target whose port is closed delays and fails nothing
    Given a routed entry
    And a routed target "t1" whose port is closed
    And a routed target "t2" that answers
    When a connection to "t1" is kept ready
    And a connection to "t2" is kept ready
    Then "t2" saw 1 connection
    When a routed caller sends GET "/reads/a"
    Then the routed caller got status 200
