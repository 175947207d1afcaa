Feature: Pulses show that targets are alive, with one byte for each

  Guards against targets that an entry instance takes for newer or older than they are, and
  against too much traffic: hundreds of targets renew themselves every second or two, and
  all of that must reach dozens of entry instances over slow links.

  Scenario: A pulse refreshes the targets of a receiver that knows the same targets
    Given a control registry whose 40 targets renewed at 10 s
    And an entry registry that received all its rows at 10 s
    When the targets of the control registry renew, one by one, from 11 s to 12 s
    And the entry registry receives the control registry's pulse at 12.2 s
    Then the entry registry accepted the pulse
    And each renewal has its true time there, or one earlier by at most 0.05 s

  Scenario: A pulse for other targets than the receiver knows changes nothing
    Given a control registry whose 40 targets renewed at 10 s
    And an entry registry that received all its rows at 10 s
    When target "late" renews at the control registry at 11 s
    And the entry registry receives the control registry's pulse at 11.1 s
    Then the entry registry did not accept the pulse

  Scenario: A target that was lost long ago does not make pulses differ
    Given a control registry whose 40 targets renewed at 10 s
    And an entry registry that received all its rows at 10 s
    When all targets but one of the control registry renew each second up to 40 s
    And the entry registry receives a pulse of it each second meanwhile
    Then the entry registry accepted the last pulse

  Scenario: After a long disconnection an instance needs all targets, then pulses match again
    Given a control registry whose 40 targets renewed at 10 s
    And an entry registry that received all its rows at 10 s
    When the targets of the control registry renew, one by one, from 60 s to 61 s
    And the entry registry receives the control registry's pulse at 61 s
    Then the entry registry did not accept the pulse
    When the entry registry receives all its rows at 61 s
    And the entry registry receives the control registry's pulse at 61.2 s
    Then the entry registry accepted the pulse

  Scenario: A target stops being cold at the time given in its renewal
    Given a control registry whose 40 targets renewed at 10 s
    When target "cold" renews at the control registry at 10 s, cold for 3000 ms
    And an entry registry receives all its rows at 11 s
    And target "cold" renews at the control registry at 11.5 s, cold for 1500 ms
    And the entry registry receives the control registry's pulse at 12 s
    Then the entry registry has target "cold" cold until 13 s

  Scenario: A control instance is not settled until half a renewal interval after its start

    Guards against overload when all instances restart while the targets keep running:
    requests would queue at the few targets that are known by then.

    Given a registry publisher that starts at 0 s
    Then its pulses are not settled at 0.7 s
    And its pulses are settled at 0.8 s

  Scenario: A control instance that receives all targets from a settled one is settled
    Given a registry publisher that starts at 0 s
    When a settled control instance sends it all its targets at 0.2 s
    Then its pulses are settled at 0.3 s

  Scenario: No exchange of rows and pulses makes a renewal look newer than it is
    Then after any exchange in any order, no renewal looks newer than it is

  Scenario: Pulses and changes of hundreds of targets fit a slow link
    Given a control registry whose 262 targets renewed at 10 s
    Then its pulses to an entry take less than 1250 bytes a second
    And a change of one target takes less than 200 bytes
