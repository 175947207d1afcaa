Feature: A planned stop cuts off no request that was taken

  Pattern: a process is stopped under load, and requests come in on connections that are
  kept open up to its last moment.

  Scenario: What comes in while the last connections are closed is answered
    Then of orders around the end of 12 planned stops none that a target got is cut off

  Scenario: An order that comes in just after nothing was in flight is answered
    Then an order that comes in between the last look and the end of a stop is answered
