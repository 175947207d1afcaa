Feature: Connections to targets are opened ahead of requests

  Opening a connection to a target in another region takes a round trip. Without a
  connection opened ahead, the caller of the first request would wait for it.

  Scenario: The first request uses a connection that was opened ahead
    Given a routed entry
    And a routed target "t1" that answers
    When the entry preconnects to "t1"
    And a routed caller sends GET "/reads/a"
    Then the routed caller got status 200
    And "t1" saw 1 connection

  Scenario: No second connection is opened ahead if one is open
    Given a routed entry
    And a routed target "t1" that answers
    When the entry preconnects to "t1" 5 times
    Then "t1" saw 1 connection

  Scenario: A connection whose idle time has expired is replaced
    Given a routed entry
    And a routed target "t1" that answers
    When the entry preconnects to "t1"
    And the idle connections of the routed entry have been idle for 4 s
    And the entry preconnects to "t1"
    Then "t1" saw 2 connections

  Scenario: A target whose port is closed does not affect others
    Given a routed entry
    And a routed target "t1" whose port is closed
    And a routed target "t2" that answers
    When the entry preconnects to "t1"
    And the entry preconnects to "t2"
    Then "t2" saw 1 connection
    When a routed caller sends GET "/reads/a"
    Then the routed caller got status 200
