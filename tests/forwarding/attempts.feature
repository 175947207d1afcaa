Feature: A routed request reaches a target unchanged, and an order at most one

  Scenario: Method, path, query, headers and body are passed on to the byte
    Given a routed entry
    And a routed target "t1" that answers
    When a routed caller sends POST "/orders/a%2Fb//c?x=%20y&z" with body "some bytes"
    Then the routed caller got status 200
    And "t1" got POST "/orders/a%2Fb//c?x=%20y&z" with body "some bytes"
    And "t1" got header "mothshunt-expected-target" "t1"
    And "t1" got the time that is left, at most 2000 ms

  Scenario: A request without a body reaches the target without one
    Given a routed entry
    And a routed target "t1" that answers
    When a routed caller sends GET "/reads/a"
    Then "t1" got no header "transfer-encoding"

  Scenario: An order whose connection breaks is not sent again
    Given a routed entry
    And a routed target "t1" that closes after reading
    And a routed target "t2" that closes after reading
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got status 502
    And one request reached all targets together

  Scenario: A read whose connection breaks is sent elsewhere
    Given a routed entry
    And a routed target "t1" that closes after reading
    And a routed target "t2" that answers
    When a routed caller sends GET "/reads/a" for each of 8 objects
    Then the routed caller got status 200 each time

  Scenario: The error of a target is passed on where no other answer is had
    Given a routed entry
    And a routed target "t1" that answers 500
    And a routed target "t2" whose port is closed
    When a routed caller sends GET "/reads/a" for each of 8 objects
    Then the routed caller got status 500 each time

  Scenario: An order that a target turned away goes to another one
    Given a routed entry
    And a routed target "t1" that turns away
    And a routed target "t2" that answers
    When a routed caller sends POST "/orders/a" for each of 8 objects
    Then the routed caller got status 200 each time

  Scenario: A target that turns requests away with room is asked once more

    Pattern: servers that reject a part of their requests at random while their queues
    are short; another target would be slow, as it doesn't know the object.

    Given a routed entry
    And a routed target "t1" that turns away every other request with room
    And a routed target "t2" that turns away every other request with room
    When a routed caller sends POST "/orders/a" for each of 8 objects
    Then the routed caller got status 200 each time
    And each object reached one target only

  Scenario: A caller whose request was turned away with room may come back at once
    Given a routed entry
    And a routed target "t1" that turns away with room
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got status 503
    And the routed caller is told to come back within 0.05 s
    And 2 requests reached all targets together

  Scenario: A target that turns requests away for want of room is not asked again
    Given a routed entry
    And a routed target "t1" that turns away without room
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got status 503
    And one request reached all targets together

  Scenario: What no target ran is refused with a time to come back
    Given a routed entry
    And a routed target "t1" that turns away
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got status 503
    And the routed caller is told to come back within 2 s

  Scenario: A 503 that may have run is never passed on as a promise
    Given a routed entry
    And a routed target "t1" that answers 503 after running
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got status 502
    And one request reached all targets together

  Scenario: An order that is not answered in time ends as timed out
    Given a routed entry with a timeout of 300 ms
    And a routed target "t1" that never answers
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got status 504
    And the last routed answer took between 250 and 900 ms

  Scenario: A target that leaves nothing but closed ports is passed over
    Given a routed entry
    And a routed target "t1" whose port is closed
    And a routed target "t2" that answers
    When a routed caller sends POST "/orders/a" for each of 8 objects
    Then the routed caller got status 200 each time

  Scenario: An answer to an earlier request is not given to the next caller
    Given a routed entry
    And a routed target "t1" that answers twice, the second time late
    When a routed caller sends GET "/reads/a" for each of 8 objects
    Then the routed caller got status 200 each time
    And each answer names its own request

  Scenario: An answer without a length whose connection is reset is not whole
    Given a routed entry
    And a routed target "t1" that is reset in an answer without a length
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got no whole answer

  Scenario: An answer without a length that ends with its connection is whole
    Given a routed entry
    And a routed target "t1" that ends an answer with its connection
    When a routed caller sends GET "/reads/a"
    Then the routed caller got status 200
    And the routed caller got a whole body

  Scenario: A read whose caller leaves ends at its target
    Given a routed entry
    And a routed target "t1" that never answers
    When a routed caller leaves 100 ms after GET "/reads/a"
    Then "t1" loses its connection within 500 ms

  Scenario: An order whose caller leaves is finished by its target
    Given a routed entry
    And a routed target "t1" that answers after 300 ms
    When a routed caller leaves 100 ms after POST "/orders/a"
    Then "t1" finishes 1 request within 1000 ms

  Scenario: Connections are used again, for orders too
    Given a routed entry
    And a routed target "t1" that answers
    When a routed caller sends POST "/orders/a" for each of 8 objects
    Then the routed caller got status 200 each time
    And "t1" saw 1 connection

  Scenario: Nothing is routed before the configuration is current
    Given a routed entry that is not ready
    When a routed caller sends GET "/reads/a"
    Then the routed caller got status 503
    And the routed caller is told to come back within 2 s

  Scenario: A path that no route begins is not found
    Given a routed entry
    When a routed caller sends GET "/nowhere/a"
    Then the routed caller got status 404

  Scenario: The retry budget of all entry instances together is kept
    Then 200 random walks of 1 to 8 entry instances keep the retry budget
