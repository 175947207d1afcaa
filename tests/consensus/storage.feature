Feature: The data folder keeps what was synced, and nothing damaged is passed over

  Scenario: Term, vote, entries and snapshot are read back
    Given a data folder with entries 1 to 30 in small files
    When a snapshot at index 20 is written that keeps entries from 15 on
    Then reading the folder gives entries 15 to 30 and the snapshot at 20
    And files that hold only entries before 15 are gone

  Scenario: A torn last frame is cut off wherever it is torn
    Given a data folder with entries 1 to 5 in one file
    Then cutting the file at any byte of the last frame leaves entries 1 to 4
    And after the cut entries are written and read back

  Scenario: A torn last frame whose content looks like a frame is cut off
    Given a data folder with entries 1 to 5 in one file
    When a frame is torn whose command holds the bytes of a frame
    Then reading the folder gives entries 1 to 5

  Scenario: Damage in the middle stops the instance wherever it is
    Given a data folder with entries 1 to 5 in one file
    Then damaging any byte before the last frame fails with code 4020

  Scenario: A file of the log that is cut short or missing stops the instance
    Given a data folder with entries 1 to 30 in small files
    Then cutting the first file short fails with code 4020
    And removing a file between others fails with code 4020

  Scenario Outline: A damaged or missing state file stops the instance
    Given a data folder with entries 1 to 5 in one file
    When the file "<file>" is <done>
    Then reading the folder fails with code <code>

    Examples:
      | file     | done    | code |
      | vote     | damaged | 4021 |
      | vote     | removed | 4021 |
      | identity | damaged | 4021 |
      | identity | removed | 4021 |
      | log-000000000001 | removed | 4020 |

  Scenario: The record of a founding is read back, and a damaged one stops the instance
    Given a data folder with entries 1 to 5 in one file
    Then it holds no record of a founding
    When a record of a founding is kept in it
    Then the same record of a founding is read back
    When the file "founding" is damaged
    Then reading the record of a founding fails with code 4021

  Scenario: A folder in use, and one of another instance, are refused
    Given a data folder with entries 1 to 5 in one file
    Then reading it twice at a time fails with code 4022
    And reading it as another instance fails with code 4023

  Scenario: Entries replace those that an earlier leader left
    Given a data folder with entries 1 to 5 in one file
    When entries 4 to 6 of term 2 replace the earlier ones
    Then reading the folder gives entries 1 to 6 of terms "1, 1, 1, 2, 2, 2"

  Scenario: A crash between a snapshot and the reset of the log
    Given a data folder with entries 1 to 5 in one file
    When a snapshot at index 4 of term 2 is written without its reset
    Then a node started from the folder holds the snapshot and no entry

  Scenario Outline: Entries that follow a snapshot whose reset of the log was lost are kept
    Guards against a member that refuses its folder for good, or drops entries that it
    has acknowledged, after its disk was full between two writes.
    Given a data folder with entries 1 to <last> in one file
    When a snapshot at index <index> of term 2 is written without its reset
    And a process opens the folder and writes entries <first> to <end> of term 2
    Then reading the folder gives the snapshot at <index>, and entries <first> to <end>
    And a node started from the folder ends at entry <end>

    Examples:
      | last | index | first | end |
      | 5    | 10    | 11    | 14  |
      | 5    | 4     | 5     | 6   |
      | 8    | 4     | 5     | 6   |

  Scenario: Entries that a snapshot was taken of before they were written are not missed
    Guards against the same, where a member applies entries that others have synced.
    Given a data folder with entries 1 to 5 in one file
    When a snapshot at index 7 of term 1 is written, and the disk is full before entries 6 to 7
    And a process opens the folder and writes entries 8 to 9 of term 1
    Then reading the folder gives the snapshot at 7, and entries 8 to 9

  Scenario: A reset that can't be written is written at the next start
    Given a data folder with entries 1 to 5 in one file
    When a snapshot at index 10 of term 2 is written without its reset
    And a process opens the folder while the disk is full
    Then it ended with an error of the disk
    When a process opens the folder and writes entries 11 to 12 of term 2
    Then reading the folder gives the snapshot at 10, and entries 11 to 12

  Scenario: A power loss keeps some of the removals of old files and loses others
    Guards against a log whose files seem to have a gap.
    Given a data folder with entries 1 to 30 in small files
    When power is lost at each moment while a snapshot at index 28 drops files
    Then after each combination of kept and lost removals the folder is read
