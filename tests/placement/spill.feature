Feature: Requests go to other regions only if capacity is short, in limited steps

  Guards against regions that are overloaded while others have spare capacity, and
  against shifts between regions that are larger than allowed from one window to the
  next.

  Scenario Outline: The share for other regions follows from demand and capacity
    Given <demand> requests a second with a capacity of <own>, and <others> elsewhere
    Then <part> percent of them should go to other regions

    Examples: demand elsewhere is 50 a second
      | demand | own | others | part |
      | 50     | 100 | 200    | 0    |
      | 100    | 100 | 400    | 40   |
      | 100    | 20  | 400    | 88   |
      | 300    | 100 | 100    | 42   |

  Scenario: Nothing is planned without any target
    Given 10 requests a second with a capacity of 0, and 0 elsewhere
    Then 0 percent of them should go to other regions

  Scenario: The share changes no more than allowed from one window to the next
    Then 500 random sequences of plans never shift more than 0.15 from one window to the next

  Scenario: Before the first request the plan takes effect at once
    Given a spillover without traffic
    When a plan sends 70 percent to other regions
    Then 70 percent go to other regions

  Scenario: No region is overloaded when demand moves between unequal regions
    Given three regions with 2, 8 and 8 targets and the same mean demand
    When demand moves around the regions as a wave for 60 s
    Then after 5 s no region has a utilization above 0.9
