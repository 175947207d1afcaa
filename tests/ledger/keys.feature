Feature: A request with an idempotency key runs at most once

  Scenario: The first answer is replayed through another entry
    Given a dispatch entry
    And a raw target "t1" that answers
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    And the same ledger is asked through another entry
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "t1 /orders"
    And target "t1" was reached 1 times
    And the dispatch counter mothshunt_answers_replayed_total with customer "rackhaven" is 1

  Scenario: The same key with another request is a conflict
    Given a dispatch entry
    And a raw target "t1" that answers
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders/other"
    Then the dispatch caller got code 2401 with ran no
    And target "t1" was reached 1 times

  Scenario: The key of a request in progress is told so
    Given a dispatch entry with a request timeout of 400 ms
    And a raw target "t1" that never answers
    When two dispatch callers add Idempotency-Key "k-1" to POST "/orders" at once
    Then one was told code 2402 and the other code 2014
    And target "t1" was reached 1 times

  Scenario: An outcome that is unknown stays unknown and nothing runs again
    Given a dispatch entry
    And a raw target "t1" that closes after reading
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got code 2013 with ran unknown
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got code 2402 with ran unknown
    When the time of every open claim is over
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got code 2403 with ran unknown
    And target "t1" was reached 1 times

  Scenario: A key whose request was not run may be used again
    Given a dispatch entry
    And a raw target "t1" that sheds
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got code 2012 with ran no
    When a raw target "t0" that answers comes first
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "t0 /orders"

  Scenario: An answer too large to keep is not run again
    Given a dispatch entry
    And a raw target "t1" that sends a large answer
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got 300000 bytes
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got code 2404 with ran unknown
    And target "t1" was reached 1 times

  Scenario: Nothing is dispatched while control can't be reached
    Given a dispatch entry with a request timeout of 300 ms
    And a raw target "t1" that answers
    And asking control for a Claim meets "unreachable" for 1000 asks
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got code 2406 with ran no
    And target "t1" was reached 0 times

  Scenario: A claim whose answer was lost is confirmed before dispatch
    Given a dispatch entry
    And a raw target "t1" that answers
    And asking control for a Claim meets "lost_answer" for 2 asks
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "t1 /orders"
    And target "t1" was reached 1 times

  Scenario: A claim that is committed after it was given up does not hold the key
    Given a dispatch entry with a request timeout of 300 ms
    And a raw target "t1" that answers
    And asking control for a Claim meets "late" for 100 asks
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got code 2406 with ran no
    When the late commands are applied
    And asking control for a Claim works again
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "t1 /orders"
    And target "t1" was reached 1 times

  Scenario: The caller gets its answer though it can't be recorded, and nothing runs again
    Given a dispatch entry
    And a raw target "t1" that answers
    And asking control for a Record meets "unreachable" for 1000 asks
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "t1 /orders"
    When the time of every open claim is over
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got code 2403 with ran unknown
    And target "t1" was reached 1 times
    When asking control for a Record works again
    And 400 ms pass at the dispatch entry
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "t1 /orders"
    And target "t1" was reached 1 times

  Scenario: A caller that leaves during the claim leaves the key free
    Given a dispatch entry
    And a raw target "t1" that answers
    And asking control for a Claim meets "lost_answer" for 100 asks
    When a dispatch caller with Idempotency-Key "k-1" leaves POST "/orders" after 150 ms
    And asking control for a Claim works again
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "t1 /orders"
    And target "t1" was reached 1 times

  Scenario: A caller that leaves after dispatch leaves the outcome unknown
    Given a dispatch entry
    And a raw target "t1" that never answers
    When a dispatch caller with Idempotency-Key "k-1" leaves POST "/orders" after 150 ms
    And the time of every open claim is over
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got code 2403 with ran unknown
    And target "t1" was reached 1 times

  Scenario: An answer in small chunks is replayed whole
    Given a dispatch entry
    And a raw target "t1" that answers in small chunks
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "four"
    And target "t1" was reached 1 times

  Scenario: A caller that leaves while it waits for room leaves the key free
    Given a dispatch entry
    And a raw target "t1" that answers
    And the dispatch chooser finds room only after 1000 ms
    When a dispatch caller with Idempotency-Key "k-1" leaves POST "/orders" after 150 ms
    And the dispatch chooser finds room at once
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "t1 /orders"
    And target "t1" was reached 1 times

  Scenario: A stop waits until the outcome is recorded
    Given a dispatch entry
    And a raw target "t1" that answers
    And asking control for a Record meets "unreachable" for 3 asks
    When a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    And the dispatch entry stops
    And the same ledger is asked through another entry
    And a dispatch caller adds Idempotency-Key "k-1" to POST "/orders"
    Then the dispatch caller got status 200 and "t1 /orders"
    And target "t1" was reached 1 times
