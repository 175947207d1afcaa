Feature: A caller that sends endless data is disconnected and affects no other caller

  Faulty callers send chunk extensions, trailers or chunk sizes without end: bytes that
  count for no limit on the size of the body.

  Scenario Outline: The framing bytes of a chunked body are limited
    Given a routed entry
    And a routed target "t1" that answers
    When a routed caller sends a body with <bytes> until its connection is closed
    Then it was disconnected within 1500 ms, after 16 MB at most
    When a routed caller sends GET "/reads/a"
    Then the routed caller got status 200

    Examples: kinds of bytes
      | bytes                         |
      | a chunk extension without end |
      | trailers without end          |
      | one chunk size without end    |

  Scenario: A body in many small chunks is accepted despite its framing bytes
    Given a routed entry
    And a routed target "t1" that answers
    When a routed caller sends a non-idempotent request in 100000 chunks of one byte
    Then the routed caller got status 200
