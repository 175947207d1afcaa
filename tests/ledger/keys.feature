Feature: A request with an idempotency key runs at most once
  Faults of the network, of a target or of an entry instance make callers repeat a
  request. A repeat with the same key must not run the request a second time: it gets
  the stored response, or an error that says what is known of the first request.

  Scenario: A repeat through another entry instance gets the stored response
    If responses were stored only on the entry instance that claimed the key, a repeat
    through another one would run the request again.
    Given a dispatch entry
    And a raw target "t1" that answers
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    And another entry instance with the same ledger takes over
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "t1 /orders"
    And target "t1" was reached 1 times
    And the dispatch counter mothshunt_answers_replayed_total with customer "rackhaven" is 1

  Scenario: A key that is used again for another request is a conflict
    The caller would otherwise get the response to the first request for the second.
    Given a dispatch entry
    And a raw target "t1" that answers
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders/other"
    Then the dispatch caller got code 2401 with ran no
    And target "t1" was reached 1 times

  Scenario: A repeat while the first request is in progress is refused
    Two requests with one key arrive at the same time; both would run.
    Given a dispatch entry with a request timeout of 400 ms
    And a raw target "t1" that never answers
    When two dispatch callers add Idempotency-Key "k-1" to POST "/orders" at once
    Then one caller got code 2402 and the other code 2014
    And target "t1" was reached 1 times

  Scenario: A request with unknown outcome is never run again
    The target reads the request and closes the connection without a response, so the
    request may have run.
    Given a dispatch entry
    And a raw target "t1" that closes after reading
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got code 2013 with ran unknown
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got code 2402 with ran unknown
    When every open claim lapses
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got code 2403 with ran unknown
    And target "t1" was reached 1 times

  Scenario: The key of a request that was not run is released
    The target sheds the request. A claim that stayed would keep the caller from
    repeating it.
    Given a dispatch entry
    And a raw target "t1" that sheds
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got code 2012 with ran no
    When a raw target "t0" that answers becomes the first choice
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "t0 /orders"

  Scenario: A request whose response was too large to store is not run again
    The ledger then has no response to replay, but the request did run.
    Given a dispatch entry
    And a raw target "t1" that sends a large answer
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got 300000 bytes
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got code 2404 with ran unknown
    And target "t1" was reached 1 times

  Scenario: No request is dispatched while the control instances can't be reached
    A request that is dispatched without a committed claim could run twice.
    Given a dispatch entry with a request timeout of 300 ms
    And a raw target "t1" that answers
    And the next 1000 Claim commands to control have the fault "unreachable"
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got code 2406 with ran no
    And target "t1" was reached 0 times

  Scenario: A claim is sent again after its response was lost
    The claim is committed, but the entry instance doesn't know. It has to recognize
    the claim as its own, and may dispatch the request only then.
    Given a dispatch entry
    And a raw target "t1" that answers
    And the next 2 Claim commands to control have the fault "lost_answer"
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "t1 /orders"
    And target "t1" was reached 1 times

  Scenario: A claim that is committed after its release doesn't take the key
    The entry instance gives up at the deadline and releases the claim. Commands that
    were delayed reach the log later and must not block a repeat of the request.
    Given a dispatch entry with a request timeout of 300 ms
    And a raw target "t1" that answers
    And the next 100 Claim commands to control have the fault "late"
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got code 2406 with ran no
    When the delayed commands are applied
    And control answers Claim commands again
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "t1 /orders"
    And target "t1" was reached 1 times

  Scenario: A response that can't be recorded still reaches the caller
    The control instances can't be reached once the request has run. Repeats must not
    run it again, and get the response once it could be recorded.
    Given a dispatch entry
    And a raw target "t1" that answers
    And the next 1000 Record commands to control have the fault "unreachable"
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "t1 /orders"
    When every open claim lapses
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got code 2403 with ran unknown
    And target "t1" was reached 1 times
    When control answers Record commands again
    And 400 ms pass at the dispatch entry
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "t1 /orders"
    And target "t1" was reached 1 times

  Scenario: A disconnect of the caller during the claim releases the key
    The claim may be committed although the response to it was lost, and no request
    would run for it.
    Given a dispatch entry
    And a raw target "t1" that answers
    And the next 100 Claim commands to control have the fault "lost_answer"
    When a dispatch caller with Idempotency-Key "k-1" disconnects from POST "/orders" after 150 ms
    And control answers Claim commands again
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "t1 /orders"
    And target "t1" was reached 1 times

  Scenario: After a disconnect of the caller during the request its outcome is unknown
    The target may have run the request, so the key must not be released.
    Given a dispatch entry
    And a raw target "t1" that never answers
    When a dispatch caller with Idempotency-Key "k-1" disconnects from POST "/orders" after 150 ms
    And every open claim lapses
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got code 2403 with ran unknown
    And target "t1" was reached 1 times

  Scenario: A response that arrives in small chunks is replayed in full
    A response that is stored before its last chunk would be replayed cut short.
    Given a dispatch entry
    And a raw target "t1" that answers in small chunks
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "four"
    And target "t1" was reached 1 times

  Scenario: A disconnect of the caller while it waits for capacity releases the key
    The request was not sent to any target, so a repeat has to run.
    Given a dispatch entry
    And a raw target "t1" that answers
    And a target has free capacity only after 1000 ms
    When a dispatch caller with Idempotency-Key "k-1" disconnects from POST "/orders" after 150 ms
    And a target has free capacity at once
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "t1 /orders"
    And target "t1" was reached 1 times

  Scenario: An entry instance records pending responses before it stops
    Responses that are lost at a stop would leave requests with unknown outcome.
    Given a dispatch entry
    And a raw target "t1" that answers
    And the next 3 Record commands to control have the fault "unreachable"
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    And the dispatch entry instance stops
    And another entry instance with the same ledger takes over
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "t1 /orders"
    And target "t1" was reached 1 times
