Feature: Elections that nobody won are repeated soon

  Pattern: all control instances start at the same moment, and two of them stand for
  election before they hear of each other.

  Scenario: The next round comes soon, and later rounds give slow links more time
    Given a voter of the replicated log
    When it stands for election 1 times without a majority
    Then its next round comes after 0.3 to 0.9 s
    When it stands for election 1 times without a majority
    Then its next round comes after 0.46 to 1.4 s
    When it stands for election 5 times without a majority
    Then its next round comes after 0.46 to 1.4 s

  Scenario: Candidates don't wait for the same time, however many rounds were lost
    Given a voter of the replicated log
    When it stands for election 40 times without a majority
    Then the last 30 waits for its next round spread over 0.5 s or more

  Scenario: A leader's message ends the rounds
    Given a voter of the replicated log
    When it stands for election 3 times without a majority
    And it hears from a leader of a later term
    And it stands for election 1 times without a majority
    Then its next round comes after 0.3 to 0.9 s

  # Guards against a member that stays behind for as long as the log is read often, such as
  # after its restart: one more loss, and changes have no majority.
  Scenario Outline: What a member missed is sent again, however often the log is read
    Given voters "a, b, c" of which one leads
    When a follower misses <missed>
    And the log is read every 0.1 s from then on
    Then the follower holds all entries within 1.6 s

    Examples:
      | missed                        |
      | an entry                      |
      | the first entries of a term   |
      | a part of a snapshot          |

  # Guards against a leader that takes no changes for as long as the log is read often.
  Scenario: A leader that can't hand over goes on, however often the log is read
    Given voters "a, b, c" of which one leads
    When the voter that is to take over is cut off
    And the log is read every 0.1 s from then on
    Then the leader takes commands again within 2.4 s

  # Guards against changes that stay unanswered although all processes run: the disks of the
  # voters were full one after another, each was started again, and none caught up.
  Scenario: Voters that were started again are part of the next majority
    Given voters "a, b, c, d, e" of which "d, e" start after one leads
    When the log is read every 0.1 s from then on
    And 3 s later all others but the leader are cut off
    Then a command is committed within 1.6 s
