Feature: A read whose target is overdue is sent to another one as well

  Pattern: targets run requests and lose their answers, or fall silent without power;
  whoever waits for them waits in vain until its time is over.

  Scenario: A lost answer costs a read some time, not its answer
    Given a routed entry
    And a routed target "t1" that never answers
    And a routed target "t2" that answers
    When a routed caller sends GET "/reads/a" for each of 8 objects
    Then the routed caller got status 200 each time
    And no target got the same request twice

  Scenario: An order is never sent to another target while the first may run it
    Given a routed entry with a timeout of 1200 ms
    And a routed target "t1" that never answers
    And a routed target "t2" that never answers
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got status 504
    And one request reached all targets together

  Scenario: A late answer is delivered, whichever of two targets has none
    Given a routed entry with a timeout of 4000 ms
    And a routed target "t1" that answers after 1.4 s
    And a routed target "t2" that never answers
    When a routed caller sends GET "/reads/a" for each of 4 objects
    Then the routed caller got status 200 each time
    And both targets got requests

  Scenario: The error of one target doesn't end the attempt at the other
    Given a routed entry
    And a routed target "t1" that answers after 1.4 s
    And a routed target "t2" that answers 500
    When a routed caller sends GET "/reads/a" for each of 8 objects
    Then the routed caller got status 200 each time
    And both targets got requests

  Scenario: Without a budget a read waits for its first target
    Given a routed entry whose retry budget is empty
    And a routed target "t1" that answers after 1.4 s
    And a routed target "t2" that answers after 1.4 s
    When a routed caller sends GET "/reads/a"
    Then the routed caller got status 200
    And one request reached all targets together

  Scenario: A caller who leaves ends both attempts
    Given a routed entry
    And a routed target "t1" that answers after 1.4 s
    And a routed target "t2" that answers after 1.4 s
    When a routed caller leaves 1200 ms after GET "/reads/a"
    Then "t1" has no open connection within 500 ms
    And "t2" has no open connection within 500 ms

  Scenario: What was given up is reset, so that it can't arrive later

    Pattern: links that lose packets or are cut for seconds; the machine goes on sending
    what was handed to it, also after an orderly close.

    Given a routed entry with a timeout of 400 ms
    And a routed target that notes how its connections end
    When a routed caller sends GET "/reads/a"
    Then the routed caller got status 504
    And the connection to that target was reset
    When a routed caller sends POST "/orders/a"
    Then the routed caller got status 504
    And the connection to that target was reset

  Scenario: Of two answers that come at once, the long one that nobody gets is closed
    Then of two attempts that end at once with long answers one connection is closed

  Scenario Outline: When another target is asked
    Then a target that is expected within <usual> ms is overdue after <delay> ms of <time> ms

    Examples: half of the time is left for the other one
      | usual | time | delay |
      | 240   | 1200 | 480   |
      | 20    | 1200 | 200   |
      | 600   | 1200 | 600   |
      | 5000  | 1000 | 500   |
