Feature: Callers find entry instances while control instances are lost

  Some control instances are without power, frozen or cut off, and callers near them
  would wait a second for each. So callers ask entry instances, which answer by what most
  control instances report.

  Scenario: Answers do not change while two of five control instances are lost
    Given 5 control instances that report the entries "n-1, n-2, s-1" as ready to "n-1"
    When control instances "c1, c2" are lost for 20 s
    Then "n-1" lists "n-1, n-2, s-1"

  Scenario: An entry lost together with a control instance is not listed
    Given 5 control instances that report the entries "n-1, n-2, s-1" as ready to "n-1"
    When control instances "c1" are lost for 1 s
    And the others report to "n-1" that "n-2" is gone
    Then "n-1" lists "n-1, s-1"

  Scenario: With two control instances, an entry lost together with one is not listed

    The lost control instance last reported the entry as ready, and one of two is no
    majority.

    Given 2 control instances that report the entries "n-1, n-2, s-1" as ready to "n-1"
    When control instances "c1" are lost for 1 s
    And the others report to "n-1" that "n-2" is gone
    Then "n-1" lists "n-1, s-1"

  Scenario: Cut off from all control instances for some seconds, an entry lists only itself
    Given 5 control instances that report the entries "n-1, n-2, s-1" as ready to "n-1"
    When control instances "c1, c2, c3, c4, c5" are lost for 4 s
    Then "n-1" lists "n-1, n-2, s-1"
    When control instances "c1, c2, c3, c4, c5" are lost for 2 s
    Then "n-1" lists "n-1"

  Scenario: A leaving entry instance lists only the others
    Given 5 control instances that report the entries "n-1, n-2, s-1" as ready to "n-1"
    When the entry instance "n-1" is leaving
    Then "n-1" lists "n-2, s-1"

  Scenario: A starting entry instance lists those that are ready
    Given 5 control instances that report the entries "n-2, s-1" as ready to "n-1"
    When the entry instance "n-1" is starting
    Then "n-1" lists "n-2, s-1"

  Scenario: An entry instance that knows no ready one refuses, so that callers ask another
    Given 5 control instances that report the entries "" as ready to "n-1"
    When the entry instance "n-1" is starting
    Then "n-1" refuses look-ups with a retry-after time

  Scenario: An entry instance reported as leaving drops out of answers at once
    Given 3 control instances that report the entries "n-1, n-2, s-1" as ready to "n-1"
    When the others report to "n-1" that "n-2" accepts no requests
    Then "n-1" lists "n-1, s-1"

  Scenario: No order of events keeps an entry instance listed for long after it has ended

    Entries end at random times, some together with a control instance, and the control
    instances notice that at different times.

    Then in 300 random runs of entries and control instances none is listed over 6 s after its end
