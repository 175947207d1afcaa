Feature: A request that may not be repeated is sent over one connection, once

  Guards against a request with side effects, such as an order, being run twice because
  the entry or its HTTP library sends it again after a connection broke.

  Scenario Outline: A target that closes the connection without a response gets a request once

    The target may have run the request before it closed the connection, so no target may
    get the request again.

    Given a dispatch entry
    And a raw target "t1" that closes after reading
    And a raw target "t2" that answers
    When a dispatch caller uploads 10 bytes with <method> "/orders/7"
    Then the dispatch caller got code 2013 with ran unknown
    And target "t1" was reached 1 times
    And target "t2" was reached 0 times

    Examples:
      | method |
      | PUT    |
      | POST   |
      | DELETE |

  Scenario: A GET whose connection closes is retried at another target only

    A retry at the same target would follow if the HTTP library resent GET requests by
    itself.

    Given a dispatch entry
    And a raw target "t1" that closes after reading
    And a raw target "t2" that answers
    When a dispatch caller sends GET "/orders/7"
    Then the dispatch caller got status 200 and "t2 /orders/7"
    And target "t1" was reached 1 times

  Scenario: A PUT that is idempotent by contract is sent to each target once

    A second request to the same target would follow if the HTTP library resent PUT
    requests by itself.

    Given a dispatch entry
    And a raw target "t1" that closes after reading
    And a raw target "t2" that answers
    When a dispatch caller uploads 10 bytes with PUT "/status/7"
    Then the dispatch caller got status 200 and "t2 /status/7"
    And target "t1" was reached 1 times
    And the dispatch counter mothshunt_retries_total with reason "broken" is 1

  Scenario: A path that a target may normalise to another one may not be repeated

    The contract allows repeating PUT below /status only; a target may take this path for
    one below /orders.

    Given a dispatch entry
    And a raw target "t1" that closes after reading
    And a raw target "t2" that answers
    When a dispatch caller uploads 10 bytes with PUT "/status/%2e%2e/orders"
    Then the dispatch caller got code 2013 with ran unknown

  Scenario: Requests that may not be repeated get a new connection each

    The target may close a reused connection while the request is being sent, and it
    is unknown whether the request was run.

    Given a dispatch entry
    And a raw target "t1" that answers
    When a dispatch caller sends GET "/a"
    And a dispatch caller uploads 10 bytes with POST "/orders"
    And a dispatch caller uploads 10 bytes with POST "/orders"
    Then target "t1" saw 3 connections

  Scenario: A request is reported as not run if no connection could be opened

    Otherwise the caller would not dare to send it again.

    Given a dispatch entry
    And a raw target "t1" whose port is closed
    When a dispatch caller uploads 10 bytes with POST "/orders"
    Then the dispatch caller got code 2011 with ran no

  Scenario: A request that was certainly not run is retried at other targets

    Neither a refused connection nor a rejection by the target runs the request, so even a
    POST may be retried.

    Given a dispatch entry
    And a raw target "t1" whose port is closed
    And a raw target "t2" that sheds
    And a raw target "t3" that answers
    When a dispatch caller uploads 10 bytes with POST "/orders"
    Then the dispatch caller got status 200 and "t3 /orders"
    And the outcomes were "t1 connect_failed, t2 shed, t3 answered"
    And the dispatch counter mothshunt_retries_total with reason "shed" is 1

  Scenario: A request that every target rejects fails at once with the target's Retry-After

    A target under too much load must not get the request again.

    Given a dispatch entry
    And a raw target "t1" that sheds
    When a dispatch caller uploads 10 bytes with POST "/orders"
    Then the dispatch caller got code 2012 with ran no
    And the dispatch caller is told to retry after 7 s

  Scenario: A request whose permit's lease ended before it was sent is not sent

    The process may be suspended between taking the permit and sending the request;
    the capacity may by then be granted to another instance.

    Given a dispatch entry
    And a raw target "t1" that answers
    And the leases of permits end before requests are sent
    When a dispatch caller uploads 10 bytes with PUT "/orders/7"
    Then the dispatch caller got code 2017 with ran no
    And target "t1" was reached 0 times

  Scenario Outline: No failure makes a caller's HTTP library send a PUT again

    Some libraries resend an idempotent method if the connection closes before a response.
    The entry must therefore send an error response, or break off a response it started.

    Given a dispatch entry
    And a raw target "t1" that <behaviour>
    When a dispatch caller whose HTTP library retries sends PUT "/orders/7" 20 times
    Then target "t1" was reached 20 times

    Examples:
      | behaviour                   |
      | closes after reading        |
      | sends a short body          |
      | sends chunks without an end |
      | breaks off a large answer   |
