Feature: Few control instances send an instance changes, all send it beats
  Dozens of entry instances sit behind links of low bandwidth, each connected to all
  control instances. If each control instance sent each change, the links would carry
  every change several times.

  Scenario: A subscriber that wants changes is sent each change at once
    Without it, a change would take effect only after the next beat.
    Given a publisher of the configuration with 2 items
    When "e1" subscribes at revision 0 and wants changes
    Then "e1" was last sent the items up to revision 2
    When an item is changed at revision 3
    Then "e1" was last sent the items up to revision 3

  Scenario: A subscriber that wants only beats gets a change when it requests it
    A change that is sent unasked would load the link; one that can't be requested would
    never take effect there.
    Given a publisher of the configuration with 2 items
    When "e1" subscribes at revision 0 and wants beats only
    And an item is changed at revision 3
    Then "e1" was last sent a beat
    When "e1" asks for what came after revision 2
    Then "e1" was last sent the items up to revision 3

  Scenario: A follower sends its request to the control instance with the newer beat
    Another control instance may not have the newer revision yet.
    Given a follower of the configuration that holds revision 0
    When control "c3" sends it a beat of revision 2
    Then it asked "c3" for what came after revision 0

  Scenario: A follower is sure of its configuration while control instances confirm it
    An instance that is not sure must not tell a caller that its key is unknown.
    Given a follower of the configuration that holds revision 0
    Then it is not sure that its configuration is current
    When control "c1" confirms revision 0 as of 3 s ago
    Then it is not sure that its configuration is current
    When control "c1" confirms revision 0 as of 0.5 s ago
    And control "c2" confirms revision 0 as of 3 s ago
    Then it is sure for 1.4 s that its configuration is current, and after 1.6 s no more
    When control "c1" confirms revision 0 as of 0 s ago
    And control "c2" confirms revision 2 as of 0 s ago
    Then it is not sure that its configuration is current
    When it gets what "c2" holds at revision 2
    Then it is sure that its configuration is current

  Scenario: A change that is on its way is not requested at each beat
    Guards against a large change that fills the link several times: each request made
    a control instance send all of it again.
    Given a follower of the configuration that holds revision 0
    When control instances send it beats of revision 2, 0.2 s apart, for 8 s
    Then it asked for what came after revision 0 at most 5 times
    When it gets what "c2" holds at revision 2
    And control instances send it beats of revision 3, 0.2 s apart, for 0.4 s
    Then it asked for what came after revision 2 once

  # Guards against a change that is in force late because what was requested on an
  # earlier stream is still waited for.
  Scenario: A follower requests what it lacks at once on a new stream
    Given a follower of the configuration that holds revision 0
    When control instances send it beats of revision 2, 0.2 s apart, for 4.4 s
    And it subscribes at "c4", which sends it a beat of revision 2
    Then it asked "c4" for what came after revision 0

  Scenario: A change is coded once for all that request it
    Guards against a control instance that holds a copy for each of hundreds of
    instances.
    Given a publisher of the configuration with 2 items
    When "e1" asks for what came after revision 0
    And "e2" asks for what came after revision 0
    Then "e1" and "e2" were sent the same message
    When an item is changed at revision 3
    And "e1" asks for what came after revision 0
    Then "e1" was last sent the items up to revision 3

  # Guards against a change that is in force late where the queue of a stream was full:
  # the next beat, the request after it and its answer may meet a full queue too.
  Scenario: A change that a full queue dropped is sent again with the next beats
    Given a publisher of the configuration with 2 items
    When "e1" subscribes at revision 0 and wants changes
    And the queue to "e1" is full
    And an item is changed at revision 3
    And the next beat is due
    Then "e1" was last sent the items up to revision 2
    When the queue to "e1" has room
    And the next beat is due
    Then "e1" was sent the items after revision 2 up to revision 3 once

  Scenario: A subscriber whose first changes a full queue dropped gets them with a beat
    Given a publisher of the configuration with 2 items
    And the queue to "e1" is full
    When "e1" subscribes at revision 1 and wants changes
    And the queue to "e1" has room
    And the next beat is due
    Then "e1" was sent the items after revision 1 up to revision 2 once
