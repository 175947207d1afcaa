Feature: The retries of all entry instances together stay within the budget in any window

  The budget that users rely on: in each window, the extra attempts are at most the slack
  plus a ratio of the requests of that window, of the window before or of the window that
  began half a window earlier, whichever has the most requests.

  Scenario: Sharp bursts in which every request may be retried

    Many callers send requests at once, and targets reject a part of them.

    Then the budget is kept in every window of 60 random bursts at 1 to 12 entry instances

  Scenario: Callers move from some entry instances to others

    An availability zone loses power, and entry instances elsewhere take over its callers.

    Then the budget is kept in every window of 60 random moves of callers among 2 to 12 entry instances

  Scenario: A constant fraction of requests may be retried
    Then at 20 requests per second for 60 s, the budget allows a retry of every eighth request
