Feature: A planned stop cuts off no request that was admitted

  A process is stopped under load while requests arrive on persistent connections until
  the end. A request that was sent to a target and then cut off may have run unnoticed.

  Scenario: Requests that arrive while the last connections are closed are answered
    Then around the end of 12 planned stops, every request that a target got is answered

  Scenario: A request that arrives just after no request was in flight is answered
    Then a request that arrives after the check for requests in flight is answered

  Scenario: Requests that arrive at any time of a stop are answered or not passed on
    Guards against orders that were taken late in the time for leaving, passed on, and cut
    off at its end.
    Then in 6 planned stops with slow targets, every request that a target got is answered

  Scenario: A caller that reads slowly gets its whole answer before the process ends
    Guards against answers of which a part was still in the memory of the process.
    Then a caller that reads slowly during a planned stop gets its whole answer

  Scenario: Idle connections don't delay the end of a stop
    Guards against a stop that waits until its time is over for callers that only keep
    their connections.
    Then a stop of 2 s with 5 idle connections ends within 1.4 s
