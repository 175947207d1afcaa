Feature: Admission of requests to services that are short of capacity

  Without it, requests of all kinds wait in the targets' queues until all are late, and
  kinds that may wait long are served before more urgent ones.

  Expected load: some 80 entry instances that see one request a second of a service
  each, demand above what the targets can do, in waves by region.

  Scenario: A budget admits the more urgent first, and starves none
    Then for any demand and budget the fractions fall with the urgency and fit the budget

  Scenario: A workspace that leaves its share unused leaves it to all others
    Then for any demand of workspaces the fair limit uses the budget and no more

  # Guards against one report of a wrong load that closes a service at once.
  Scenario: The level moves in bounded steps
    Given a service that is asked for twice its capacity
    When its counts are the same for 12 updates
    Then no fraction fell by more than 0.15 or rose by more than 0.08 in one update
    And the most urgent kind is admitted more than the less urgent one

  # Guards against a level that swings: each entry instance acts on the same counts.
  Scenario: The level settles under constant demand, and reopens when it ends
    Given a service that is asked for twice its capacity
    When its counts are the same for 30 updates
    Then the fractions moved by less than 0.05 in the last 10 updates
    When its demand falls to half its capacity for 16 updates
    Then everything is admitted

  Scenario: Own counts are used while no control instance sends sums
    Given an entry instance whose service is short by the sums of all
    When no sums arrive for 4 s while its own requests are answered at once
    Then it uses its own counts
    And after 15 s everything is admitted there

  # Guards against counts of another moment that keep a service closed.
  Scenario: Counts of a frozen entry instance are left out of the sums
    Given load reports of entries "e1, e2" with 10 requests each at 0 s
    And a load report of entry "e2" with 10 requests at 3 s
    Then the sums are of 10 requests at 3 s

  Scenario: The sums of the other control instance are used while one is frozen
    Given an entry instance that gets sums from control instances "c1, c2"
    When "c1" is frozen for 20 s, and demand falls meanwhile
    Then it uses the sums of "c2", and everything is admitted

  Scenario: Without the setting, deployments are served as before
    Given a service with routes of two priorities and a workspace
    Then no service is controlled

  Scenario: Without ranks nothing is controlled, and messages are as before
    Given a service with routes of one priority and no workspaces
    Then no service is controlled
    And load reports and pulses have the same bytes as in the release before

  Scenario Outline: Ranks switch control on
    Given a service with <ranks>
    Then the service is controlled

    Examples:
      | ranks                                           |
      | routes of two priorities and the setting for them |
      | one route and a workspace and the setting       |

  Scenario: Counts reach an instance of the release before without harm
    Then a receiver of the release before reads load reports and pulses with counts

  Scenario: A retry time is within a third of the time left, and spread
    Given an entry instance whose service is short by the sums of all
    When 400 requests with 1.2 s left are rejected
    Then their retry times are between 0.05 and 0.4 s
    And no tenth of that range has more than a third of them

  Scenario: Sums take few bytes
    Given 80 entry instances with 2 services, 4 urgencies and 80 workspaces
    Then a load report takes less than 400 bytes and a pulse less than 1200
    And counting, deciding and reporting a request takes less than 20 us

  Scenario Outline: The order of urgency holds while something fails
    Given the first 26 s of the load scenario "florists"
    And its callers ask for 1.5 times as much from 4 s on
    And <failure>
    When it is played with admission control
    Then no kind is served more often by 0.05 than a more urgent one of its service
    And no kind is served less than a quarter as often as another of its service
    And 0.95 of the rejections come within an eighth of the target latency
    And no level reverses its direction by more than 0.1 more than 4 times

    Examples:
      | failure                                                          |
      | nothing fails                                                    |
      | control instances are silent from 8 s to 18 s                    |
      | sums arrive 2 s late from 8 s to 26 s                            |
      | targets of region "north" come back cold at 9 s                  |
      | targets of region "centre" are unreachable from 12 s to 20 s     |

  Scenario Outline: A less urgent kind gets no larger share of its value
    Given the first 26 s of the load scenario "florists"
    And its callers ask for <factor> times as much from 4 s on
    When it is played with admission control
    Then no kind has a share of its value above a more urgent one's by 0.15

    Examples:
      | factor |
      | 1.5    |
      | 1      |

  Scenario: No workspace takes more than its share from the others
    Given the first 26 s of the load scenario "florists"
    And its callers ask for 1.5 times as much from 4 s on
    When it is played with admission control
    Then no workspace that asks for less is served less often by 0.1 than the largest

  Scenario: Callers that come back are served as often as new ones

    Without workspaces, as those over their share are rejected again when they return.

    Given the first 26 s of the load scenario "florists"
    And its callers ask for 1.5 times as much from 4 s on
    And its callers belong to no workspace
    When it is played with admission control
    Then callers that came back are served as often as new ones, within 0.05
