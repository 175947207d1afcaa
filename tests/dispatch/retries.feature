Feature: Retries are limited by budget, deadline and number of attempts

  Guards against retries that multiply the load when targets fail, and against a wrong
  report of whether the request was run.

  Scenario: No retry is made when the contract's budget is used up

    The first request uses the only retry of the budget.

    Given a dispatch entry with a budget of one retry
    And a raw target "t1" that closes after reading
    And a raw target "t2" that answers
    When a dispatch caller sends GET "/a"
    Then the dispatch caller got status 200 and "t2 /a"
    When a dispatch caller sends GET "/a"
    Then the dispatch caller got code 2013 with ran unknown
    And the dispatch counter mothshunt_retries_given_up_total with why "budget" is 1

  Scenario: At most three attempts are made, each at another target

    Three of four targets fail, and the request fails although the fourth would answer.

    Given a dispatch entry
    And a raw target "t1" that closes after reading
    And a raw target "t2" that closes after reading
    And a raw target "t3" that closes after reading
    And a raw target "t4" that answers
    When a dispatch caller sends GET "/a"
    Then the dispatch caller got code 2013 with ran unknown
    And target "t3" was reached 1 times
    And target "t4" was reached 0 times

  Scenario: It is unknown whether a request was run if it is so for any attempt

    The last attempt did not reach its target, but the first one may have run the request.

    Given a dispatch entry
    And a raw target "t1" that closes after reading
    And a raw target "t2" whose port is closed
    When a dispatch caller sends GET "/a"
    Then the dispatch caller got code 2011 with ran unknown

  Scenario: A failure to choose a target is reported unchanged

    The code and the Retry-After value come from the chooser.

    Given a dispatch entry
    When a dispatch caller sends GET "/a"
    Then the dispatch caller got code 2299 with ran no
    And the dispatch caller is told to retry after 3 s

  Scenario: No retry is made if the body can't be sent again

    The body is streamed, and the first target has already received a part of it.

    Given a dispatch entry
    And a raw target "t1" that closes after reading
    And a raw target "t2" that answers
    When a dispatch caller uploads 200000 bytes with PUT "/status/7"
    Then the dispatch caller got code 2013 with ran unknown
    And the dispatch counter mothshunt_retries_given_up_total with why "body_gone" is 1

  Scenario: A token bucket allows as many retries as the contract

    1000 first attempts bring 100 tokens, and 10 s bring 20.

    Then 1000 first attempts with ratio 0.1 and 2 per s allow 120 retries in 10 s

  Scenario: The silence time-out follows the response times of the service

    It has a lower and an upper bound, and it grows if requests exceed it; otherwise a
    service that became slow would have every request cancelled.

    Then after 50 responses in 0.01 s the silence time-out is 0.25 s
    And after 50 responses in 0.2 s the silence time-out is 0.6 s
    And after 50 responses in 5 s the silence time-out is 2 s
    And the silence time-out reaches 1 s if each request after a fast one exceeds it
