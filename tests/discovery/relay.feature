Feature: A control instance relays changed targets, and a bounded number of loads

  Guards against instances that miss a changed target, and against traffic that grows with
  the number of targets: rows that circulate between control instances, or loads sent to
  regions that do not use them.

  Scenario: A changed target is sent to all, its load to instances in its region only
    Given a relay at "c1" with "n1" of north and "s1" of south attached, and "c2" as peer
    When "n1" sends "t1" of north and its load 3
    Then "s1" and "c2" were sent "t1"
    When the relay flushes its loads
    Then "c2" was sent the load of "t1"
    And "s1" was not sent the load of "t1"

  Scenario: A change from another control instance goes to attached instances only
    Given a relay at "c1" with "n1" of north and "s1" of south attached, and "c2" as peer
    When "c2" sends "t1" of north and its load 3
    Then "n1" and "s1" were sent "t1"
    And "c2" was sent nothing

  Scenario: Loads above the bound of a flush wait for the next one, longest waiting first
    Given a queue of load reports
    When loads of 100 targets are reported, and those of 50 again
    Then flushes of 60 give the first 60 targets, then the other 40

  Scenario: A load that waited is sent with its age
    Given a relay at "c1" with "n1" of north and "n2" of north attached, and "c2" as peer
    When "n1" sends "t1" of north and its load 3
    And 4 s pass
    And the relay flushes its loads
    Then "n2" was sent the load of "t1" with an age of 4000 ms
