Feature: A target is retired once two entry instances report that it leaves

  Guards against requests to a target that leaves but cannot reach the control instances.
  Guards also against the loss of a healthy target for all callers because one response
  was damaged in transit. A target announces its leave in responses to entry instances,
  which report it to the control instances.

  Scenario: Reports of two entry instances retire a target, once
    Given a control instance that receives leave reports
    When entry "e1" reports at 10 s that "t1" leaves
    Then "t1" is not retired
    When entry "e2" reports at 12 s that "t1" leaves
    Then "t1" is retired once
    When entry "e3" reports at 12.5 s that "t1" leaves
    Then "t1" is retired once

  Scenario: Repeated reports of one entry instance do not retire a target
    Given a control instance that receives leave reports
    When entry "e1" reports at 10 s that "t1" leaves
    And entry "e1" reports at 11 s that "t1" leaves
    And entry "e1" reports at 12 s that "t1" leaves
    Then "t1" is not retired

  Scenario: An old report no longer counts
    Given a control instance that receives leave reports
    When entry "e1" reports at 10 s that "t1" leaves
    And entry "e2" reports at 21 s that "t1" leaves
    Then "t1" is not retired
    When entry "e1" reports at 22 s that "t1" leaves
    Then "t1" is retired once

  Scenario: Reports of different incarnations are not added up
    Given a control instance that receives leave reports
    When entry "e1" reports at 10 s that "t1" leaves
    And entry "e2" reports at 10 s that incarnation 2 of "t1" leaves
    Then "t1" is not retired

  Scenario: The number of targets with stored reports is bounded
    Given a control instance that receives leave reports
    When an entry instance reports 3000 targets
    Then reports of at most 1000 targets are stored
