Feature: A caller that sends on and on loses its connection, and nobody else anything

  Pattern: callers in trouble whose requests carry bytes that are no body.

  Scenario Outline: Bytes of a body that carry none of it are bounded
    Given a routed entry
    And a routed target "t1" that answers
    When a routed caller sends a body with <bytes> until it is cut off
    Then it was cut off within 1500 ms, after 16 MB at most
    When a routed caller sends GET "/reads/a"
    Then the routed caller got status 200

    Examples: kinds of bytes
      | bytes                         |
      | a chunk extension without end |
      | trailers without end          |
      | one chunk size without end    |

  Scenario: Small chunks are no bytes in vain
    Given a routed entry
    And a routed target "t1" that answers
    When a routed caller sends an order in 100000 chunks of one byte
    Then the routed caller got status 200
