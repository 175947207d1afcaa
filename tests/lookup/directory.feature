Feature: Callers of a routed deployment get a list of ready entry instances

  While all entry instances are lost or not yet back, all callers ask the directory at
  once. It must refuse them without a log line for each, and answer as soon as an entry
  instance is ready.

  Scenario: Without a ready entry instance, callers are refused with a retry-after time
    Given a directory that knows the entry "north-1" as starting
    When 50 callers ask it within 0.9 s
    Then each was refused with code 2103 and a retry-after time
    And 1 line was logged that no entry instance was found, for 1 look-up, 1 known
    When 1 caller asks it 0.2 s later
    Then 2 lines were logged that no entry instance was found, the last for 50 look-ups, 1 known

  Scenario: Unanswered look-ups not logged yet are logged with the next answered one
    Given a directory that knows the entry "north-1" as starting
    When 50 callers ask it within 0.4 s
    And the entry "north-1" is ready
    And 1 caller asks it 0.2 s later
    Then 2 lines were logged that no entry instance was found, the last for 49 look-ups, 1 known

  Scenario: An entry instance is in answers as soon as it is ready
    Given a directory that knows the entry "north-1" as starting
    When the entry "north-1" is ready
    And 3 callers ask it within 0.9 s
    Then each got an answer with "north-1"
    And the look-ups were counted as 3 answered and 0 unanswered

  Scenario: An answer lives no longer than its newest entry instance has been ready

    Shortly after a common start an answer lists only the first few entry instances that
    are ready. Callers must not use those for long while others become ready.

    Given a directory that knows the entry "north-1" as starting
    When the entry "north-1" is ready
    And 1 caller asks it 0.1 s later
    Then it may cache the answer for 0.25 s
    When 1 caller asks it 1.1 s later
    Then it may cache the answer for 1.2 s
    When 1 caller asks it 9 s later
    Then it may cache the answer for 2 s
    When the entry "north-2" is ready
    And 1 caller asks it 0.2 s later
    Then it may cache the answer for 0.25 s

  Scenario: The first entry instance that is ready after a common start is not overloaded

    20 entry instances become ready within 0.5 s of each other. 300 callers ask the
    directory as soon as one is ready, and a third of them cache an answer three times as
    long as they may. Each request goes to a random instance of the answer.

    Given a directory that knows the entry "north-1" as starting
    When 20 entry instances become ready within 0.5 s, and 300 callers ask and send
    Then from 1 s to 2 s after the first was ready no entry instance got over 4 times the mean
