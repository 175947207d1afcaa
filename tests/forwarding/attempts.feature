Feature: Routed requests are sent to targets unchanged and retried safely

  Guards against altered requests, against a non-idempotent request ("/orders/") that
  runs at two targets, and against an idempotent one ("/reads/") that fails although
  another target could have answered it.

  Scenario: Method, path, query, headers and body are forwarded byte for byte
    Given a routed entry
    And a routed target "t1" that answers
    When a routed caller sends POST "/orders/a%2Fb//c?x=%20y&z" with body "some bytes"
    Then the routed caller got status 200
    And "t1" got POST "/orders/a%2Fb//c?x=%20y&z" with body "some bytes"
    And "t1" got header "mothshunt-expected-target" "t1"
    And "t1" got a deadline header of at most 2000 ms

  Scenario: A request without a body is forwarded without one
    Given a routed entry
    And a routed target "t1" that answers
    When a routed caller sends GET "/reads/a"
    Then "t1" got no header "transfer-encoding"

  Scenario: A non-idempotent request is not retried after its connection breaks
    Given a routed entry
    And a routed target "t1" that closes after reading
    And a routed target "t2" that closes after reading
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got status 502
    And the targets got one request in total

  Scenario: An idempotent request is retried at another target after its connection breaks
    Given a routed entry
    And a routed target "t1" that closes after reading
    And a routed target "t2" that answers
    When a routed caller sends GET "/reads/a" for each of 8 objects
    Then the routed caller got status 200 each time

  Scenario: A target's error response is sent to the caller if no target gives a better one
    Given a routed entry
    And a routed target "t1" that answers 500
    And a routed target "t2" whose port is closed
    When a routed caller sends GET "/reads/a" for each of 8 objects
    Then the routed caller got status 500 each time

  Scenario: A non-idempotent request that a target rejected is sent to another one
    Given a routed entry
    And a routed target "t1" that turns away
    And a routed target "t2" that answers
    When a routed caller sends POST "/orders/a" for each of 8 objects
    Then the routed caller got status 200 each time

  Scenario: A target that rejects a request although it has free capacity gets it again

    Some servers reject a part of their requests at random while their queues are short.
    Another target would answer later, as it has not handled the object before.

    Given a routed entry
    And a routed target "t1" that turns away every other request with room
    And a routed target "t2" that turns away every other request with room
    When a routed caller sends POST "/orders/a" for each of 8 objects
    Then the routed caller got status 200 each time
    And the requests for each object went to one target only

  Scenario: The Retry-After is short if a target rejected a request despite free capacity
    Given a routed entry
    And a routed target "t1" that turns away with room
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got status 503
    And the routed caller got a Retry-After of at most 0.05 s
    And the targets got 2 requests in total

  Scenario: A target without free capacity does not get a rejected request again
    Given a routed entry
    And a routed target "t1" that turns away without room
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got status 503
    And the targets got one request in total

  Scenario: A request that no target ran is refused with a Retry-After
    Given a routed entry
    And a routed target "t1" that turns away
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got status 503
    And the routed caller got a Retry-After of at most 2 s

  Scenario: A target's 503 is not forwarded if the request may have run

    Callers conclude from a 503 that the request was not run, and may repeat it.

    Given a routed entry
    And a routed target "t1" that answers 503 after running
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got status 502
    And the targets got one request in total

  Scenario: A non-idempotent request that is not answered in time gets status 504
    Given a routed entry with a timeout of 300 ms
    And a routed target "t1" that never answers
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got status 504
    And the last routed answer took between 250 and 900 ms

  Scenario: The deadline that a target gets has no more digits than are accepted
    Guards against requests without a deadline that are refused where they are relayed,
    because the timeout of their route is long.
    Given a routed entry with a timeout of 1000000000000 ms
    And a routed target "t1" that answers
    When a routed caller sends GET "/reads/a"
    Then the routed caller got status 200
    And "t1" got a deadline header of at most 999999999 ms

  Scenario: An affinity cookie may have bytes that are not UTF-8
    Guards against requests that are answered 502 because of a cookie.
    Given a routed entry
    And a routed target "t1" that answers
    When a routed caller sends GET "/reads/a" with the bytes ff fe as affinity cookie
    Then the routed caller got status 200

  Scenario: A target whose port is closed is skipped
    Given a routed entry
    And a routed target "t1" whose port is closed
    And a routed target "t2" that answers
    When a routed caller sends POST "/orders/a" for each of 8 objects
    Then the routed caller got status 200 each time

  Scenario: A response to an earlier request is not sent to the next caller

    A target that sends a second response to a request leaves it on a connection that is
    reused for the next request.

    Given a routed entry
    And a routed target "t1" that answers twice, the second time late
    When a routed caller sends GET "/reads/a" for each of 8 objects
    Then the routed caller got status 200 each time
    And each response carries the id of its own request

  Scenario: A response without a length is incomplete if its connection is reset

    The end of the connection marks the end of such a response, also after a reset.

    Given a routed entry
    And a routed target "t1" that is reset in an answer without a length
    When a routed caller sends POST "/orders/a" with body "some bytes"
    Then the routed caller got no complete response

  Scenario: A response without a length is complete if its connection is closed
    Given a routed entry
    And a routed target "t1" that ends an answer with its connection
    When a routed caller sends GET "/reads/a"
    Then the routed caller got status 200
    And the routed caller got the complete body

  Scenario: An idempotent request is cancelled when its caller disconnects
    Given a routed entry
    And a routed target "t1" that never answers
    When a routed caller leaves 100 ms after GET "/reads/a"
    Then the connection to "t1" is closed within 500 ms

  Scenario: A non-idempotent request is finished although its caller disconnects
    Given a routed entry
    And a routed target "t1" that answers after 300 ms
    When a routed caller leaves 100 ms after POST "/orders/a"
    Then "t1" finishes 1 request within 1000 ms

  Scenario: Connections are reused, also for non-idempotent requests
    Given a routed entry
    And a routed target "t1" that answers
    When a routed caller sends POST "/orders/a" for each of 8 objects
    Then the routed caller got status 200 each time
    And "t1" saw 1 connection

  Scenario: Nothing is forwarded before the entry instance serves
    Given a routed entry that is not ready
    When a routed caller sends GET "/reads/a"
    Then the routed caller got status 503
    And the routed caller got a Retry-After of at most 2 s

  Scenario: A path that no route matches gets status 404
    Given a routed entry
    When a routed caller sends GET "/nowhere/a"
    Then the routed caller got status 404

  Scenario: Requests that no route matches are logged at a bounded rate
    Guards against a route that is missing at one instance, and no line that tells it.
    Given a routed entry
    When 40 requests of the path "/nowhere/a" match no route
    Then at most 8 lines "no route matches" a second name the host and the path "/nowhere/a"

  Scenario: The retries of all entry instances together stay within the retry budget
    Then the retry budget is kept in 200 random sequences of requests and retries at 1 to 8 entry instances
