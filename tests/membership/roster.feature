Feature: Roster of the entry instances that may be sending requests

  A limit that holds for all entry instances together is divided by their number. If one
  that still sends is not counted, the shares add up to more than the limit. This can
  happen when instances start, stop, freeze or are cut off from control instances.

  Expected load: dozens of entry instances on slow links that come and go all at once.

  Scenario: The view is the union of what control instances list
    Given a roster view of entry "e1"
    When control "c1" lists entries "e1, e2" at 0 s
    And control "c2" lists entries "e2, e3" at 0 s
    Then the view counts 3 entries
    And 3 of them run in zone "north-a"

  Scenario: An entry that has gone still counts for the longest window of a limit
    Given a roster view of entry "e1"
    When control "c1" lists entries "e1, e2" at 0 s
    And control "c1" reports that entry "e2" is gone at 1 s
    And control "c1" confirms its entries at 9.5 s
    Then the view counts 2 entries
    When control "c1" confirms its entries at 11.5 s
    Then the view counts 1 entries

  Scenario: Entries still count while pulses confirm them
    Given a roster view of entry "e1"
    When control "c1" lists entries "e1, e2" at 0 s
    And control "c1" confirms its entries at 5 s
    And control "c1" confirms its entries at 14 s
    Then the view counts 2 entries

  Scenario: All rows are requested if the digest differs for too long
    Given a roster view of entry "e1"
    When control "c1" lists entries "e1, e2" at 0 s
    Then a pulse of control "c1" about entries "e1, e2, e3" at 1 s requests nothing
    And a pulse of control "c1" about entries "e1, e2, e3" at 1.5 s requests nothing
    And a pulse of control "c1" about entries "e1, e2, e3" at 2 s requests all
    When control "c1" lists all entries "e1, e2, e3" at 2.1 s
    Then the view counts 3 entries
    And a pulse of control "c1" about entries "e1, e2, e3" at 3 s requests nothing

  Scenario: Demand is summed by zone, and the highest reported sum is taken
    Given a roster view of entry "e1"
    And a roster table
    When entry "e1" of zone "north-a" reports a demand of 10 at 0 s
    And entry "e2" of zone "north-a" reports a demand of 5 at 0 s
    And entry "e3" of zone "south-a" reports a demand of 7 at 0 s
    And control "c1" sends the view the table's demand at 0 s
    Then the view's demand is 15 in "north-a" and 7 in "south-a"
    When control "c2" reports a demand of 3 in "south-a" at 0 s
    Then the view's demand is 15 in "north-a" and 7 in "south-a"

  Scenario: The shares of connected entries never add up to more than 1
    Then for any starts, stops and cuts the shares of connected entries add up to at most 1

  Scenario: A new entry has no share of a limit until the others have counted it
    Given a roster view of entry "e1"
    When control "c1" lists entries "e1, e2, e3" at 0 s
    And its control instances confirm their entries each second until 10.9 s
    Then its share of a limit over 10 s is 0 at 10.9 s
    When its control instances confirm their entries each second until 11 s
    Then its share of a limit over 10 s is 1/3 at 11 s

  Scenario: An entry that was frozen or cut off has no share, like a new one
    Given a roster view of entry "e1"
    When control "c1" lists entries "e1, e2" at 0 s
    And its control instances confirm their entries each second until 12 s
    Then its share of a limit over 10 s is 1/2 at 12 s
    And its share of a limit over 10 s is 0 at 30 s
    When its control instances confirm their entries each second from 30 s until 40 s
    Then its share of a limit over 10 s is 0 at 40 s
    When its control instances confirm their entries each second until 42 s
    Then its share of a limit over 10 s is 1/2 at 42 s

  Scenario: A machine that was suspended has no share of a limit when it resumes
    Given a roster view of entry "e1"
    And it was sent entries "e1, e2" for 12 s by the system's clock
    When the machine is suspended for 6 s, while its monotonic clock stands still
    Then its share of a limit over 10 s is 0 by the system's clock

  Scenario: An entry that is no longer listed keeps its share of a limit
    Given a roster view of entry "e1"
    When control "c1" lists entries "e1, e2, e3" at 0 s
    And control "c1" reports that entry "e3" is gone at 1 s
    And its control instances confirm their entries each second until 59 s
    Then the view counts 2 entries
    And its share of a limit over 10 s is 1/3 at 59 s
    When its control instances confirm their entries each second until 61 s
    Then its share of a limit over 10 s is 1/2 at 61 s

  Scenario: All entries together keep a limit over a window under any disturbance
    Then for any disturbances under a minute all entries keep the slack of retries

  Scenario: A cold target is shared by the entries of its zone
    Given a roster view of entry "e1"
    When control "c1" lists entries "e1, e2" at 0 s
    Then its share of a limit of zone "north-a" over 1 s is 0 at 1.9 s
    When its control instances confirm their entries each second until 2 s
    Then its share of a limit of zone "north-a" over 1 s is 1/2 at 2 s
    And its share of a limit of zone "south-a" over 1 s is 1/2 at 2 s
    When an entry of zone "south-a" is listed as well at 2 s
    Then its share of a limit of zone "north-a" over 1 s is 1/2 at 2 s
    And its share of a limit of zone "south-a" over 1 s is 0 at 2 s

  Scenario: All entries together keep a cold target's limit under any disturbance
    Then for any disturbances under a minute no cold target gets more than its limit

  Scenario: Rosters of dozens of entries need little bandwidth on a slow link
    Given a roster table of 60 entries that all report a demand of 4 services
    Then its pulses to an entry take less than 1250 bytes a second
    And the arrival of one entry takes less than 150 bytes at each other

  Scenario Outline: The nearest control instances are chosen as primaries
    Given control instances "north-a, north-b, centre-a, south-a" that are attached
    When an entry of zone "<zone>" chooses its primaries
    Then they are <count> and one is that of "<nearest>"

    Examples:
      | zone     | count | nearest  |
      | north-a  | 2     | north-a  |
      | north-b  | 2     | north-b  |
      | south-a  | 2     | south-a  |

  Scenario: Entries without a near control instance spread their primaries evenly
    Given control instances "north-a, north-b, centre-a, south-a" that are attached
    When 60 entries of zone "west-a" choose their primaries
    Then each control instance is a primary of 15 or more of them
