Feature: Entry instances follow the notices in targets' responses

  A target says in its responses that it leaves, or that it wants a pause. During
  releases and scale-downs these notices arrive before control instances learn of the
  change; an entry instance that ignored them would go on sending requests that fail.

  Scenario Outline: A target that says in a response that it leaves gets no more requests
    Given a routed entry
    And a routed target "t1" that <leaves>
    And a routed target "t2" that answers
    When a routed caller sends GET "/reads/a" for each of 16 objects
    Then the routed caller got status 200 each time
    And "t1" got 1 requests
    And the control instances are notified once that "t1" leaves
    When "t1" renews its registration without a restart
    And a routed caller sends GET "/reads/a" for each of 16 objects
    Then "t1" got 1 requests

    Examples: successful responses, errors and rejections
      | leaves                                       |
      | answers that it leaves                       |
      | fails and says that it leaves                |
      | turns away with room and says that it leaves |

  Scenario: A target that left is used again after its restart
    Given a routed entry
    And a routed target "t1" that answers that it leaves
    When a routed caller sends GET "/reads/a"
    Then the routed caller got status 200
    When a routed caller sends GET "/reads/a"
    Then the routed caller got status 503
    And "t1" got 1 requests
    When "t1" answers from now on
    And "t1" restarts 6 s later
    And a routed caller sends GET "/reads/a"
    Then the routed caller got status 200

  Scenario: The connections to a leaving target are closed
    Given a routed entry
    And a routed target "t1" that answers that it leaves
    When a routed caller sends GET "/reads/a"
    Then "t1" has no open connection within 500 ms

  Scenario: A leave notice of another target at the same address is ignored
    Given a routed entry
    And a routed target "t1" that is another one that leaves
    When a routed caller sends GET "/reads/a"
    Then the control instances are notified of no leaving target

  Scenario: A leave notice in a response to an earlier request is ignored
    Given a routed entry
    And a routed target "t1" that sends an older answer that it leaves
    When a routed caller sends GET "/reads/a" for each of 4 objects
    Then the routed caller got status 200 each time
    And "t1" got 4 requests
    And the control instances are notified of no leaving target

  Scenario Outline: A target that asks for a pause gets no requests until its end
    Given a routed entry
    And a routed target "t1" that <asks>
    And a routed target "t2" that answers
    When a routed caller sends GET "/reads/a" for each of 16 objects
    Then the routed caller got status 200 each time
    And "t1" got 1 requests

    Examples: responses that say that the request was not run, and others
      | asks                                  |
      | asks for a pause of 2 s               |
      | asks for a pause of 2 s after running |

  Scenario: A target is used again after its pause
    Given a routed entry
    And a routed target "t1" that asks for a pause of 0.6 s
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got status 503
    And "t1" got 1 requests
    When "t1" answers from now on
    And 0.3 s pass at the routed entry
    And a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got status 503
    And "t1" got 1 requests
    When 0.4 s pass at the routed entry
    And a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got status 200

  Scenario: If all targets pause, callers are refused at once with the time left of the pause
    Given a routed entry
    And a routed target "t1" that asks for a pause of 2 s
    And a routed target "t2" that asks for a pause of 2 s
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got status 503
    And the routed caller got a Retry-After between 1.8 and 3.1 s
    When a routed caller sends POST "/orders/b" with body "some bytes"
    Then the routed caller got status 503
    And the last routed answer took between 0 and 100 ms
    And the routed caller got a Retry-After between 1.8 and 3.1 s
    And "t1" got 1 requests
    And "t2" got 1 requests

  Scenario: A pause ends when the target restarts
    Given a routed entry
    And a routed target "t1" that asks for a pause of 2 s
    When a routed caller sends GET "/reads/a"
    Then the routed caller got status 503
    When "t1" answers from now on
    And "t1" restarts
    And a routed caller sends GET "/reads/a"
    Then the routed caller got status 200

  Scenario Outline: Invalid requests for a pause are ignored
    Given a routed entry
    And a routed target "t1" that <asks>
    When a routed caller sends GET "/reads/a" for each of 4 objects
    Then "t1" got at least one request
    When "t1" answers from now on
    And a routed caller sends GET "/reads/a"
    Then the routed caller got status 200

    Examples: times that can't be parsed, and a status other than 503
      | asks                                    |
      | asks for an unreadable pause            |
      | asks for a pause of less than nothing   |
      | asks for a pause of 2 s with status 429 |
