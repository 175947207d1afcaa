Feature: A node decides on votes, reads and replication

  Scenario: A voter that was cut off raises no term and starts no election on return
    Given pure nodes "a, b, c" with a leader
    When a follower node is cut off for 30 seconds
    Then its term is still that of the leader
    When the cuts between the nodes are mended for 10 seconds
    Then the leader and the term of the nodes are the same

  Scenario: A voter that hears its leader grants no vote and no pre-vote
    Given pure nodes "a, b, c" with a leader
    Then a follower node leaves a vote request of a higher term without an answer

  Scenario: A leader that hears no majority steps down
    Given pure nodes "a, b, c" with a leader
    When the leader node is cut off for 2 seconds
    Then that node does not lead, and its term is unchanged

  Scenario: A leader that is cut off answers no read
    Given pure nodes "a, b, c" with a leader
    When the leader node is cut off and asked for a read at once
    Then the read is never answered with an index

  Scenario: Answers to an earlier round confirm no later read
    Given pure nodes "a, b, c" with a leader
    When the leader node is asked for a read while an earlier round is on its way
    Then the answers to the earlier round do not confirm it

  Scenario: A new leader answers no read before it has committed an entry
    Given pure nodes "a, b, c" with a leader
    When another node takes over and is asked for a read before its first commit
    Then the read is answered after the commit, with an index that is not lower

  Scenario: Entries that were dropped do not count as synced
    Given a follower node with entries 1 to 10, of which 1 to 8 are synced
    When a new leader replaces the entries from 6 on
    Then the node counts 5 entries as synced
    And the late sync of the dropped entries changes nothing
    And the node acknowledges the new entry only after its own sync

  Scenario: A voter whose own removal is not committed stands for election
    Given pure nodes "a, b, c" with a leader
    When the node "d" is added as a fourth voter
    And the leader node appends its own removal, crashes and starts again
    And another of the nodes crashes
    Then the nodes elect a leader within 20 seconds

  Scenario: A snapshot is sent to its end although newer ones come up
    Given pure nodes "a, b, c" with a leader
    When a follower node is cut off while 100 commands are accepted
    Then it catches up although each part of the snapshot sees a newer one come up
