Feature: Renewals of targets are ordered by incarnation and sequence, not by arrival

  Guards against a delayed renewal that overwrites a newer one. Renewals reach an instance
  by way of several control instances, so they can arrive in any order.

  Scenario: The registry does not depend on the order of arrival
    Then any order of the same renewals gives the same targets

  Scenario: A delayed renewal does not restore an older state
    Given a registry
    When target "t" renews with incarnation 2 and sequence 5 as serving
    And target "t" renews with incarnation 2 and sequence 4 as leaving
    And target "t" renews with incarnation 1 and sequence 9 as leaving
    Then target "t" is serving

  Scenario: A restarted target starts its sequence again
    Given a registry
    When target "t" renews with incarnation 1 and sequence 90 as leaving
    And target "t" renews with incarnation 2 and sequence 1 as serving
    Then target "t" is serving

  Scenario: An address belongs to the target that started last
    Given a registry
    When target "old" with incarnation 1 renews at port 80
    And target "new" with incarnation 2 renews at port 80
    Then the registry knows only "new"
    When target "old" with incarnation 1 renews at port 80 once more
    Then the registry knows only "new"

  Scenario: The silence of a target is counted up to the newest renewal of any target
    Given a registry
    When target "a" renews at 1 s and target "b" at 3 s
    Then "a" has been silent for 2 s and "b" for 0 s

  Scenario: A renewal that can't be encoded is refused and keeps back no other target
    Guards against targets that no instance is told of, because a renewal with half of a
    surrogate pair is in the same message.
    Given a control instance that receives renewals
    When the target "odd" of release "v2 <half of a surrogate pair>" renews itself there
    And the target "sound" of release "v2" renews itself there
    Then the renewal of "odd" is refused with code 2701, that of "sound" is not
    And the target "sound" is sent to the entry instances
    And an instance that requests all targets gets "sound"
