Feature: A request waits briefly for capacity and is then refused with a retry-after time

  While all slots are in use, requests queue at the entry instance. A wait that is too
  long or a queue without a bound would use up the time in which the caller could retry
  elsewhere.

  Scenario: A freed slot goes to a waiting non-idempotent request before an idempotent one
    Given an entry whose only slot is taken
    When an idempotent and then a non-idempotent request wait for it
    And the slot is freed
    Then the non-idempotent request got it and the other is refused with a retry-after time

  Scenario: The wait ends long before the deadline
    Then with up to 1 second to its deadline a request is refused after 0.25 of that time
    And with 60 seconds to its deadline a request is refused after 0.25 seconds
    Given an entry whose only slot is taken
    When a request with a deadline in 60 seconds waits for it
    Then it is refused at least 30 seconds before its deadline

  Scenario: Requests that arrive while the queue is full are refused at once
    Given an entry whose only slot is taken
    When 70 requests ask for it at the same moment
    Then 6 are refused as "too_many_waiting" and each refusal is counted

  Scenario: A slot freed for a caller that has left goes to the next waiting request

    The caller leaves after its request was woken and before the request has run. The
    slot would stay unused if no other waiting request were woken.

    Given an entry whose only slot is taken
    When two requests wait for it and the first caller leaves as the slot is freed
    Then the second request got the slot
