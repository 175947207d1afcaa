Feature: A control instance that can't keep its promises takes no part any more

  Scenario: The leader's disk fails
    Given a replicated log on "a, b, c"
    When "a" proposes "one"
    And the disk of the leader of the log refuses writes
    Then "two" is proposed on the failed control instance, its outcome told truly
    And the failed control instance reported code 4024 and does not lead
    When a working control instance proposes "three"
    # The followers may have synced the command before the leader's own disk failed.
    Then the working control instances have applied "one, three", perhaps "two" between

  Scenario: The leader's disk fails, and another instance leads before a command comes
    Given a replicated log on "a, b, c"
    When "a" proposes "one"
    And the disk of the leader of the log refuses writes
    And all instances of the log stand still for 1.6 s
    Then "two" is proposed on the failed control instance, its outcome told truly
    And the failed control instance reported code 4024 and does not lead
    When a working control instance proposes "three"
    Then the working control instances have applied "one, three", perhaps "two" between

  Scenario: The leader's disk fails after the others accepted a command
    Given a replicated log on "a, b, c"
    When "a" proposes "one"
    And the disk of the leader of the log refuses writes after 0.3 s
    Then "two" is proposed on the failed control instance, its outcome told truly
    And the failed control instance reported code 4024 and does not lead
    When a working control instance proposes "three"
    Then the working control instances have applied "one, three", perhaps "two" between

  Scenario: A command can't be applied on one instance
    Given a replicated log on "a, b, c"
    When "a" proposes "one"
    And the state of a follower of the log refuses commands
    And a working control instance proposes "two"
    Then the failed control instance reported code 4026 and does not lead
    When a working control instance proposes "three"
    Then the working control instances have all applied "one, two, three"

  # Guards against an instance that runs on while its log takes no part any more: changes
  # stay unanswered, and nothing replaces it.
  Scenario Outline: A fault that nobody expects ends the control instance, not a part of it
    Given a replicated log on "a, b, c"
    When "a" proposes "one"
    And <part> of a follower of the log fails once
    And a working control instance proposes "two"
    Then the failed control instance reported code 4027 and does not lead
    When a working control instance proposes "three"
    Then the working control instances have all applied "one, two, three"

    Examples:
      | part                                  |
      | the processing of what was synced     |
      | the timer                             |

  # Guards against a member that stays outside for good after one failed attempt.
  Scenario: An introduction that fails once is tried again
    Given a replicated log on "a, b, c"
    When "a" proposes "one"
    And "c" loses its disk, and its first introduction fails
    And "a" proposes "two"
    Then "c" has applied "one, two"

  Scenario: A large state is not written again for every few commands
    Given a state of 100000 bytes and snapshots after 10 commands, 1000 at most
    Then with commands of 100 bytes the next snapshot is due after 379 commands
    And with commands of 10 bytes the next snapshot is due after 1000 commands

  Scenario: Large commands don't fill memory and disk until a number of them is reached
    Guards against an instance that ends for want of memory or disk after some hundred
    changes of many items each.
    Given a state of 100000 bytes and snapshots after 4096 commands, 32768 at most
    Then with commands of 1000000 bytes the next snapshot is due after 17 commands
    Given a log of 2000 entries of 10 bytes, then 30 of 1000000 bytes
    When it is compacted at its last entry
    Then it keeps the last 4 entries
    Given a log of 2000 entries of 10 bytes, then 0 of 1000000 bytes
    When it is compacted at its last entry
    Then it keeps the last 1024 entries

  Scenario: A command whose place another one took may still be accepted elsewhere
    Given a command that waits for index 5 of term 1
    When this instance leads again and appends another command at index 5 of term 3
    Then the outcome of the first command is unknown

  Scenario: A command whose place another accepted one took will never run
    Given a command that waits for index 5 of term 1
    When an entry of term 2 is applied at index 5
    Then the first command surely did not run
