Feature: Callers of an entry instance that reaches no target are served as others are

  An entry instance may be partitioned from all targets for seconds, while callers and
  the other instances reach it. Without a relay, nearly all of its first attempts fail,
  if connections hang or are reset. Load: 5 reads and 5 orders a second at each of four
  entry instances, with two services and six targets in three zones.

  Scenario: One entry instance, in each manner of partition
    Given a deployment of four entry instances whose links to targets can be partitioned
    When the links of "north-1" to all targets hang for 7 s
    Then from 4 s on "north-1" served at least two thirds of what the others served
    And every entry instance served at least two thirds of the attempts after it
    And "north-1" found itself isolated 1 time
    When the links of "north-1" to all targets reset for 7 s
    Then from 4 s on "north-1" served at least two thirds of what the others served
    And "north-1" found itself isolated 2 times
    When the links of "north-1" to all targets live while new ones are refused for 7 s
    Then from 4 s on "north-1" served at least two thirds of what the others served
    And no order ran twice, and none that was answered not run ran at all

  Scenario: A zone, and all but one
    Given a deployment of four entry instances whose links to targets can be partitioned
    When the links of "north-1, north-2" to all targets hang for 7 s
    Then from 4 s on "north-1, north-2" served at least two thirds of what the others served
    And every entry instance is soon named to callers
    And every entry instance served at least two thirds of the attempts after it
    When the links of "north-1, north-2, centre-1" to all targets reset for 7 s
    Then from 4 s on "north-1, north-2, centre-1" served at least two thirds of what the others served
    And every entry instance is soon named to callers
    And every entry instance served at least two thirds of the attempts after it
    And no order ran twice, and none that was answered not run ran at all

  Scenario: Twice in a row, with a change of the configuration and a stop meanwhile
    Given a deployment of four entry instances whose links to targets can be partitioned
    When the links of "north-1" to all targets hang for 3 s
    And the links of "north-1" to all targets hang for 7 s, with version 2 of the routes
    Then from 4 s on "north-1" served at least two thirds of what the others served
    And "north-1" answers "/new/a" with 200
    When the links of "north-1" to all targets hang for 7 s, with a stop after 3 s
    Then no connection to "north-1" was closed with a request in flight
    And no order ran twice, and none that was answered not run ran at all
