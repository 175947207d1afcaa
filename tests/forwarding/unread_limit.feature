Feature: Responses that callers leave unread take a limited amount of memory

  Callers request large responses and read nothing, or very little at a time. What waits
  for them must not end the instance, and slow callers must get their responses.

  Scenario: Callers that read nothing are disconnected when too much is unread
    Guards against an instance that runs out of memory because of what callers leave
    unread.
    Given a routed entry that keeps 1 MB of unread responses
    And routed targets "t1, t2, t3, t4" that send 8 MB at once
    When 40 routed callers of 8 MB read nothing for 6 s, and one reads slowly
    Then at most 1 MB of responses are unread
    And some of the routed callers were disconnected
    But the routed caller that reads slowly was not

  Scenario Outline: Those that have read nothing for long are disconnected
    Given a limit of 100 unread bytes and of 3 s
    When the unread bytes are "<at 0 s>" at 0 s
    And the unread bytes are "<at 1 s>" at 1 s
    And the unread bytes are "<at 3 s>" at 3 s
    Then the callers "<disconnected>" are to be disconnected

    Examples:
      | at 0 s           | at 1 s           | at 3 s           | disconnected |
      | a 60, b 40       | a 60, b 40       | a 60, b 40       | none         |
      | a 60, b 50       | a 60, b 50       | a 60, b 50       | a            |
      | a 60, b 50       | a 59, b 50       | a 59, b 50       | b            |
      | a 60, b 50       | a 60, b 50       | a 10, b 50       | none         |
      | a 60             | a 60, b 50       | a 60, b 50       | a            |
      | a 90, b 80, c 70 | a 90, b 80, c 70 | a 90, b 80, c 70 | a, b         |
      | a 0, b 90        | a 0, b 90        | a 0, b 90, c 90  | b            |
