Feature: Callers find entry instances while control instances are lost

  Pattern: some control instances are without power, frozen or cut off, and callers near
  them would wait a second for each. Entry instances answer their look-ups, by what most
  control instances tell.

  Scenario: Nothing changes for callers while two of five control instances are lost
    Given 5 control instances that name the entries "n-1, n-2, s-1" as ready to "n-1"
    When control instances "c1, c2" are lost for 20 s
    Then "n-1" tells callers of "n-1, n-2, s-1"

  Scenario: What was lost together with a control instance is named no more
    Given 5 control instances that name the entries "n-1, n-2, s-1" as ready to "n-1"
    When control instances "c1" are lost for 1 s
    And the others tell "n-1" that "n-2" is gone
    Then "n-1" tells callers of "n-1, s-1"

  Scenario: With two control instances, what one of them lost with itself is not named
    Given 2 control instances that name the entries "n-1, n-2, s-1" as ready to "n-1"
    When control instances "c1" are lost for 1 s
    And the others tell "n-1" that "n-2" is gone
    Then "n-1" tells callers of "n-1, s-1"

  Scenario: Cut off from all control instances, an entry instance vouches for itself only
    Given 5 control instances that name the entries "n-1, n-2, s-1" as ready to "n-1"
    When control instances "c1, c2, c3, c4, c5" are lost for 4 s
    Then "n-1" tells callers of "n-1, n-2, s-1"
    When control instances "c1, c2, c3, c4, c5" are lost for 2 s
    Then "n-1" tells callers of "n-1"

  Scenario: An entry instance that leaves names the others only
    Given 5 control instances that name the entries "n-1, n-2, s-1" as ready to "n-1"
    When the entry instance "n-1" is leaving by itself
    Then "n-1" tells callers of "n-2, s-1"

  Scenario: An entry instance that starts names those that are ready
    Given 5 control instances that name the entries "n-2, s-1" as ready to "n-1"
    When the entry instance "n-1" is starting by itself
    Then "n-1" tells callers of "n-2, s-1"

  Scenario: An entry instance that knows of none refuses, and callers ask another
    Given 5 control instances that name the entries "" as ready to "n-1"
    When the entry instance "n-1" is starting by itself
    Then "n-1" refuses look-ups with a time to come back

  Scenario: An entry instance that leaves or starts is told as not ready at once
    Given 3 control instances that name the entries "n-1, n-2, s-1" as ready to "n-1"
    When the others tell "n-1" that "n-2" takes no requests
    Then "n-1" tells callers of "n-1, s-1"

  Scenario: No interleaving names an entry instance for long after it has gone
    Then in 300 random lives of entries and control instances none is named over 6 s after its end
