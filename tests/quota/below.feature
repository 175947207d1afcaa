Feature: Requests of workspaces below their quotas are not rejected

  Load: 40 entry instances and 5 control instances in three regions; a workspace of 100
  requests a second, one of 20, ten of 4 with callers that move from entry instance to
  entry instance, and one of 1. Each uses 1 / 1.6 of its quota, and half of all demand
  comes to one region for 12 s. A request counts as below the quota if one token bucket
  that saw all requests of the workspace would admit it.

  Scenario Outline: Faults of one control instance cause no rejection below the quota
    Given workspaces at 1/1.6 of their quotas, in waves by region
    When the first control instance <fault> at 6 s
    And 30 s pass in the deployment
    Then no request below the quota has been rejected
    And 9 of 10 requests waited less than 80 ms for a token
    And no workspace has sent more than allowed

    Examples:
      | fault             |
      | stays as it is    |
      | is lost           |
      | freezes           |
      | is replaced       |
      | restarts          |
      | is cut off        |

  # Guards against the failure that buckets that start empty reject the first requests.
  Scenario: A deployment that starts rejects nothing below the quota
    Given workspaces at 1/1.6 of their quotas, in waves by region
    When all control instances restart at 6 s
    And 12 s pass in the deployment
    Then no request below the quota has been rejected
    And no workspace has sent more than allowed

  Scenario: A workspace bursts to eight times its usual rate
    Given a workspace of 20 requests a second with a quota of 32 a second and 160 at a time
    When it asks for 140 a second more from 15 s to 16 s, and from 31 s to 32 s
    And 34 s pass in the deployment
    Then no request below the quota has been rejected
