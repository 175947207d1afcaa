Feature: A large change reaches instances behind slow links
  The links of entry instances carry 2 Mbit/s. A change of many routes must be in force
  behind them within 3 s of its confirmation, and must not end their streams.

  Scenario: 1,400 routes are added in one change
    Guards against changes that are never in force: streams that were busy with a large
    change were closed as silent, and it was sent anew on each new stream.
    Given 2 control instances and 12 entry instances behind links of 250000 bytes a second
    When 1400 routes are added in one change
    Then all entry instances have them in force within 3 s
    And no stream was closed as silent

  Scenario: Changes follow one another while a large one is on its way
    Guards against a large change that is requested again at each beat until it arrives.
    Given 2 control instances and 12 entry instances behind links of 250000 bytes a second
    When 1400 routes are added in one change
    And 1 route is added in each of 5 changes, 0.3 s apart
    Then all entry instances have them in force within 3 s
    And each link has carried less than 375000 bytes
