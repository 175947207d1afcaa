Feature: Requests that a caller pipelines on one connection are handled concurrently

  Callers send further idempotent requests before the first is answered. Guards against
  each of them waiting for the ones ahead of it, against responses in another order than
  the requests, and against orders that run behind a response that closes the connection.

  Background:
    Given a routed entry
    And a routed target whose responses take the time that the path names

  Scenario: Idempotent requests run side by side and are answered in order
    When a routed caller pipelines "GET /reads/300, GET /reads/100, GET /reads/200"
    Then the pipelined responses come in order within 500 ms
    And the target began all of them within 100 ms

  Scenario: A large response waits for its turn and is whole
    When a routed caller pipelines "GET /reads/300, GET /reads/50-large, GET /reads/100"
    Then the pipelined responses come in order within 600 ms

  Scenario: A non-idempotent request waits for its turn, and what is behind it as well
    When a routed caller pipelines "GET /reads/200, POST /orders/200, GET /reads/50"
    Then the pipelined responses come in order within 700 ms
    And each request reached the target after the one ahead of it was answered

  Scenario: The number of requests that begin early is limited for each connection

    The first requests show the entry how fast the target is; one by one, the others
    would take 800 ms.

    When a routed caller pipelines 4 times "GET /reads/40"
    And a routed caller pipelines 20 times "GET /reads/40"
    Then the pipelined responses come in order within 600 ms
    And at most 9 requests were at the target at a time

  Scenario: Requests of a caller that disconnects are cancelled
    When a routed caller pipelines "GET /reads/1500, GET /reads/1500" and leaves
    Then no request is at the target 500 ms later
    And no request is in flight

  Scenario: Requests behind the first one that were begun are answered by a leaving entry
    When a routed caller pipelines "GET /reads/300, GET /reads/300" as the entry leaves
    Then the pipelined responses come in order within 600 ms
