Feature: Work leaves its place only where room is short, and slowly

  Scenario Outline: What should leave follows demand and capacity
    Given <demand> requests a second where <own> can be run, and <others> elsewhere
    Then <part> percent of them should leave

    Examples: demand elsewhere is 50 a second
      | demand | own | others | part |
      | 50     | 100 | 200    | 0    |
      | 100    | 100 | 400    | 40   |
      | 100    | 20  | 400    | 88   |
      | 300    | 100 | 100    | 42   |

  Scenario: Nothing is planned without any target
    Given 10 requests a second where 0 can be run, and 0 elsewhere
    Then 0 percent of them should leave

  Scenario: Between two windows no more than the allowed part changes region
    Then 500 random plans never shift more than 0.15 from one window to the next

  Scenario: Before the first request the parts are as planned
    Given a spill without traffic
    When a plan sends 70 percent to other regions
    Then 70 percent go to other regions

  Scenario: Uneven regions under a wave of callers keep every region below its limit
    Given three regions with 2, 8 and 8 targets and callers alike
    When callers come in a wave for 60 s
    Then after 5 s no region is loaded above 0.9
