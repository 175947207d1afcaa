Feature: Fault-injecting proxy

  Background:
    Given an echo server behind a fault-injecting proxy

  Scenario: Each direction has its own delay, and delay does not limit throughput
    When the proxy delays 50 ms to the server and 0 ms to the client
    Then 100 messages through one connection echo in order
    And one message takes at least 50 ms and the 100 took less than 50 delays

  Scenario Outline: An open connection goes silent while new ones pass
    Given an open connection through the proxy
    When open connections go silent <direction>
    Then the open connection echoes nothing, and neither end sees it close
    And a new connection echoes

    Examples:
      | direction     |
      | to the server |
      | to the client |
      | both ways     |

  Scenario: A cut holds everything back until it is healed
    Given an open connection through the proxy
    When the proxy is cut
    Then the open connection echoes nothing, and neither end sees it close
    And a new connection echoes nothing
    When the proxy is healed
    Then what the open connection had sent is echoed
    And a new connection echoes

  Scenario: The end of a stream and a reset pass through
    Given an open connection through the proxy
    When the client of the open connection ends its stream
    Then the echo server sees the stream end
    When open connections are reset
    Then no connection is open at the proxy
