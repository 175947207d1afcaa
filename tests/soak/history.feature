Feature: The soak notices each broken promise

  Background:
    Given the history of a soak in which "order-1" ran at "target-1" at 20 s

  Scenario: Nothing is broken
    Then the history breaks no promise

  Scenario: An answer of another request
    When "order-1" was answered 200 with "order-2 target-1 stock"
    Then the history breaks "WRONG"

  Scenario: An order runs twice
    When "order-1" ran at "target-2" at 21 s
    Then the history breaks "TWICE"

  Scenario: A refusal is not true
    When "order-1" was answered 503 with ""
    Then the history breaks "REFUSED"

  Scenario: A target runs what nobody sent
    When "order-9" ran at "target-1" at 20 s
    Then the history breaks "UNASKED"

  Scenario Outline: A target that has left
    When "target-1" had left at <left> s
    Then the history breaks <broken>

    Examples:
      | left | broken  |
      | 17.9 | "LEFT"  |
      | 18.1 | nothing |

  Scenario Outline: An evacuated zone
    When the zone of "target-1" was evacuated from <since> s to <until> s
    Then the history breaks <broken>

    Examples:
      | since | until | broken      |
      | 14.9  | 30    | "EVACUATED" |
      | 15.1  | 30    | nothing     |
      | 14.9  | 19    | nothing     |

  Scenario Outline: A service that requests no longer go to
    When all routes went to "stock-moved", asked for at <asked> s, confirmed at <at> s
    Then the history breaks <broken>

    Examples:
      | asked | at   | broken  |
      | 13    | 14.9 | "STALE" |
      | 13    | 15.1 | nothing |

  Scenario: A service that requests don't go to yet
    When "order-2" of "stock-moved" ran at 20 s
    Then the history breaks "STALE"

  Scenario Outline: Bounds in time hold for instances without a fault
    When "target-1" had left at 17.9 s
    And "<instance>" had a fault from <since> s to <until> s
    Then the history breaks <broken>

    Examples:
      | instance | since | until | broken  |
      | entry-1  | 1     | 14.9  | "LEFT"  |
      | entry-1  | 1     | 15.1  | nothing |
      | entry-2  | 1     | 19    | "LEFT"  |
      | control  | 1     | 12.8  | "LEFT"  |
      | control  | 1     | 13    | nothing |

  Scenario: The test itself stood still
    When "target-1" had left at 17.9 s
    And the soak did not run for 0.3 s
    Then the history breaks nothing

  Scenario Outline: An entry cuts a request off because it stops
    When "order-1" got no answer
    And "entry-1" was asked to stop at <stop> s and ended at 25 s
    And "<instance>" had a fault from 19 s to 21 s
    Then the history breaks <broken>

    Examples:
      | stop | instance | broken  |
      | 19   | entry-2  | "CUT"   |
      | 19   | entry-1  | nothing |
      | 22   | entry-2  | nothing |
