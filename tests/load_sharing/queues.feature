Feature: Queues at targets are known before requests are sent there

  Expected load: a burst fills the queues of a service whose targets each entry instance
  asks once in some seconds. Some requests have a second, such as those of a new route
  with a short timeout; most have more.

  # Guards against requests with little time that are sent to full targets until their
  # time has passed, and against queues that stay full after a burst has ended.
  Scenario Outline: Requests with little time are served too after a burst
    Given the load scenario "little-time" with seed <seed>
    When it is played as <entries> entry instances of the product
    Then from second 8 on "short-read" is served at least 0.25 times as often as "read"
    And from second 8 on at most 0.6 of the requests are refused or fail

    Examples:
      | seed | entries |
      | 21   | 18      |
      | 22   | 18      |
      | 21   | 10      |

  # Guards against a single slow target that changes how a whole deployment chooses.
  Scenario Outline: Loads are shared while requests wait at the targets of a service
    Given <full> of 16 targets have a queue of <waiting> requests for each slot
    When an entry instance of <entries> gets 5 responses of each target
    Then it <result> loads

    Examples:
      | full | waiting | entries | result         |
      | 1    | 3       | 18      | does not share |
      | 16   | 0.25    | 18      | does not share |
      | 16   | 3       | 3       | does not share |
      | 16   | 3       | 4       | shares         |
      | 8    | 3       | 18      | shares         |

  # Guards against more rejected requests in deployments whose targets are all as fast.
  Scenario: Queues alone don't count
    Given 16 of 16 targets have a queue of 3 requests for each slot
    And no machine of a target is slow
    When an entry instance of 18 gets 5 responses of each target
    Then it does not share loads

  Scenario: Loads are no longer shared some time after the queues have ended
    Given 16 of 16 targets have a queue of 3 requests for each slot
    When an entry instance of 18 gets 5 responses of each target
    And the queues end, and it gets 5 responses of each target
    Then it shares loads
    And 31 s later it does not share loads
