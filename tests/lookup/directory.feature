Feature: Callers of a routed deployment are told which entry instances to use

  Pattern: all entry instances are lost or not yet back, and all callers ask at once.

  Scenario: A caller without any entry instance is refused with the time to come back
    Given a directory that knows the entry "north-1" as starting
    When 50 callers ask it within 0.9 s
    Then each was refused with code 2103 and a time to come back
    And 1 line told that no entry instance was found, of 1 look-up, 1 known
    When 1 caller asks it 0.2 s later
    Then 2 lines told that no entry instance was found, the last of 50 look-ups, 1 known

  Scenario: What was not told yet is told when an entry instance is there again
    Given a directory that knows the entry "north-1" as starting
    When 50 callers ask it within 0.4 s
    And the entry "north-1" is ready
    And 1 caller asks it 0.2 s later
    Then 2 lines told that no entry instance was found, the last of 49 look-ups, 1 known

  Scenario: An entry instance that is ready is told at once
    Given a directory that knows the entry "north-1" as starting
    When the entry "north-1" is ready
    And 3 callers ask it within 0.9 s
    Then each was told of "north-1"
    And the look-ups were counted as 3 answered and 0 without one

  Scenario: An answer is kept no longer than its newest entry instance has been ready
    Given a directory that knows the entry "north-1" as starting
    When the entry "north-1" is ready
    And 1 caller asks it 0.1 s later
    Then it may keep the answer for 0.25 s
    When 1 caller asks it 1.1 s later
    Then it may keep the answer for 1.2 s
    When 1 caller asks it 9 s later
    Then it may keep the answer for 2 s
    When the entry "north-2" is ready
    And 1 caller asks it 0.2 s later
    Then it may keep the answer for 0.25 s

  Scenario: The first entry instance that is ready after a common start is not run down

    Pattern: 20 entry instances become ready within 0.5 s of each other. 300 callers ask
    the directory as soon as one is, a third of them keep an answer three times as long
    as they may, and each request goes to any instance of the answer.

    Given a directory that knows the entry "north-1" as starting
    When 20 entry instances become ready within 0.5 s, and 300 callers ask and send
    Then from 1 s to 2 s after the first was ready none got over 4 times the mean
