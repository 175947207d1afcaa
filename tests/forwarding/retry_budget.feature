Feature: The retries of all entry instances together stay in their budget in any window

  The rule of the users: in each window, requests beyond the first to a target are at most
  the ratio of the requests in that window, in the one before or in that half a window
  before, whichever has most, and the slack.

  Scenario: A sharp burst at which every request is tried again

    Pattern: many callers at once, and targets that turn a part of them away.

    Then 60 random bursts of 1 to 12 entry instances keep the budget in every window

  Scenario: Callers that move from one entry instance to others

    Pattern: a zone that loses its power, and entries that take its callers over.

    Then 60 random moves among 2 to 12 entry instances keep the budget in every window

  Scenario: A steady part of requests may be tried again
    Then of 20 requests a second each eighth gets its second attempt for 60 s
