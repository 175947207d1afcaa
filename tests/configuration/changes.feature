Feature: Changes of the configuration are ordered by the replicated log
  Operators repeat changes whose outcome they didn't see, and change the same item at
  the same time. A change that took effect twice, or a copy that went back to an older
  revision, would make instances steer by different configurations.

  Scenario: A change that is sent twice takes effect once and gets its first outcome
    An operator sends a change again when the response was lost.
    Given a replicated configuration
    When "ann" changes "rackhaven" by "c1" based on 0 at index 5
    And "ann" changes "rackhaven" by "c1" based on 0 at index 6
    Then the last outcome is "accepted" at 5 and repeated
    And the revision is 5

  Scenario: Of two changes on the same base revision, the second is a conflict
    The second operator would otherwise overwrite a change without having seen it.
    The outcome names the change that won.
    Given a replicated configuration
    When "ann" changes "rackhaven" by "c1" based on 0 at index 5
    And "bob" changes "rackhaven" by "c2" based on 0 at index 6
    Then the last outcome is "conflict" at 5 and not repeated
    And the last outcome names the winner "ann" and "c1"
    When "bob" changes "rackhaven" by "c2" based on 0 at index 7
    Then the last outcome is "conflict" at 5 and repeated

  Scenario: A change id can't be reused for a different change
    The second change would be taken for a repeat, and lost without an error.
    Given a replicated configuration
    When "ann" changes "rackhaven" by "c1" based on 0 at index 5
    And "ann" changes "sleman" by "c1" based on 0 at index 6
    Then the last outcome is "refused" at 5 and not repeated

  Scenario: A snapshot includes the outcomes of accepted changes and of conflicts
    A change that is repeated after a restart would otherwise be applied again.
    Given a replicated configuration
    When "ann" changes "rackhaven" by "c1" based on 0 at index 5
    And "bob" changes "rackhaven" by "c2" based on 0 at index 6
    And the configuration is restored from its snapshot
    And "bob" changes "rackhaven" by "c2" based on 0 at index 7
    Then the last outcome is "conflict" at 5 and repeated
    When "ann" changes "rackhaven" by "c1" based on 0 at index 8
    Then the last outcome is "accepted" at 5 and repeated

  Scenario: Seats are unique in a region and kept over a restart
    Two instances with the same seat would use the same share of the static reserve of
    limits.
    Given a replicated configuration
    When "a1" of "north" joins at index 1
    And "a2" of "north" joins at index 2
    And "b1" of "south" joins at index 3
    And "a1" of "north" joins at index 4
    Then "a1" has seat 0 and incarnation 4
    When "a1" leaves at index 5
    And "a3" of "north" joins at index 6
    Then "a3" has seat 0 and incarnation 6

  Scenario: A copy requests the changes of a lost delta and never goes back
    A full queue drops a delta, and messages from several control instances arrive out
    of order.
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

  Scenario: A copy that differs at the same revision requests all items
    Its revision alone would not show that the copy is wrong; the digest in a beat does.
    Given a replicated configuration
    And a copy of the configuration
    When "ann" changes "rackhaven" by "c1" based on 0 at index 5
    And the copy gets the delta since 0
    And an item of the copy is damaged
    Then the next beat makes the copy ask for "whole"
