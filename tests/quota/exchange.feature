Feature: Entry and control instances exchange tokens of quotas

  Background:
    Given a deployment with the quota "w" of 10 a second and 10 at a time

  Scenario: Without a control instance that answers, requests get status 503
    When all control instances are lost
    Then a request of "w" is rejected with code 3402
    And the next request of "w" is rejected with code 3402 in 10 ms

  # Guards against the failure that an entry instance that knows a workspace before the
  # control instances do sends without bound.
  Scenario: A workspace that the control instances don't know gets no tokens
    When the entry instances learn of the quota "new" of 10 a second
    Then a request of "new" is rejected with code 3403

  Scenario: Control instances that no majority confirms issue no tokens after a while
    When all control instances are cut off
    And 7 s pass in the deployment
    Then a request of "w" is admitted
    When 2 s pass in the deployment
    Then a request of "w" is rejected with code 3403

  Scenario: A lower quota drops what the buckets hold
    When the quota "w" becomes 1 a second and 1 at a time
    Then at most 11 of 40 requests of "w" are admitted

  Scenario: The token of a request that was not sent serves another one
    When a request of "w" is admitted and not sent
    Then the next request of "w" asks no control instance

  Scenario: A token is void after half a second
    When a request of "w" is admitted and not sent
    And 0.6 s pass in the deployment
    Then the next request of "w" asks a control instance

  Scenario: A workspace without a quota asks no control instance
    When the quota "w" becomes 0 a second and 0 at a time
    Then the next request of "w" asks no control instance
