Feature: Changes of the configuration are ordered by the replicated log

  Scenario: A change sent twice is one change and gets the first answer
    Given a replicated configuration
    When "ann" changes "rackhaven" by "c1" based on 0 at index 5
    And "ann" changes "rackhaven" by "c1" based on 0 at index 6
    Then the last outcome is "accepted" at 5 and repeated
    And the revision is 5

  Scenario: Of two changes on one base revision one wins and the other is told
    Given a replicated configuration
    When "ann" changes "rackhaven" by "c1" based on 0 at index 5
    And "bob" changes "rackhaven" by "c2" based on 0 at index 6
    Then the last outcome is "conflict" at 5 and not repeated
    And the last outcome names the winner "ann" and "c1"
    When "bob" changes "rackhaven" by "c2" based on 0 at index 7
    Then the last outcome is "conflict" at 5 and repeated

  Scenario: A change id can't be used for another change
    Given a replicated configuration
    When "ann" changes "rackhaven" by "c1" based on 0 at index 5
    And "ann" changes "sleman" by "c1" based on 0 at index 6
    Then the last outcome is "refused" at 5 and not repeated

  Scenario: A snapshot holds first answers and conflicts as well
    Given a replicated configuration
    When "ann" changes "rackhaven" by "c1" based on 0 at index 5
    And "bob" changes "rackhaven" by "c2" based on 0 at index 6
    And the configuration is restored from its snapshot
    And "bob" changes "rackhaven" by "c2" based on 0 at index 7
    Then the last outcome is "conflict" at 5 and repeated
    When "ann" changes "rackhaven" by "c1" based on 0 at index 8
    Then the last outcome is "accepted" at 5 and repeated

  Scenario: Seats are unique in a region and kept over a restart
    Given a replicated configuration
    When "a1" of "north" joins at index 1
    And "a2" of "north" joins at index 2
    And "b1" of "south" joins at index 3
    And "a1" of "north" joins at index 4
    Then "a1" has seat 0 and incarnation 4
    When "a1" leaves at index 5
    And "a3" of "north" joins at index 6
    Then "a3" has seat 0 and incarnation 6

  Scenario: A copy repairs a lost delta and never goes back
    Given a replicated configuration
    And a copy of the configuration
    When "ann" changes "rackhaven" by "c1" based on 0 at index 5
    And the copy gets the delta since 0
    And "ann" changes "sleman" by "c2" based on 0 at index 6
    And "ann" changes "sleman" by "c3" based on 6 at index 7
    And the copy gets the delta since 6
    Then the copy needs "changes" and holds revision 5
    When the copy gets the delta since 5
    Then the copy needs "nothing" and holds revision 7
    When the copy gets an old delta to 5
    Then the copy needs "nothing" and holds revision 7

  Scenario: A copy that differs at the same revision asks for all items
    Given a replicated configuration
    And a copy of the configuration
    When "ann" changes "rackhaven" by "c1" based on 0 at index 5
    And the copy gets the delta since 0
    And an item of the copy is damaged
    Then the next beat makes the copy ask for "whole"
