Feature: Targets that name a rate limit get no more than it from all entry instances

  Background:
    Given a routed deployment of three control instances and six entries
    And 4 targets that can name a rate limit

  # Guards against the failure that entry instances go on sending to a target that has
  # named a limit, or each send as much as the limit allows to all of them together.
  Scenario: A target that names a rate limit gets at most that from all entry instances
    When callers send 40 requests a second over all entries, for 2 s
    And target 3 names a limit of 5 a second and callers go on for 10 s
    Then no target got more than its limit allows
    And "mothshunt targets list" shows the limit of target 3 and no other
    And target 3 got at least 2.5 requests a second in the last 6 s
    And the callers got status 200 each time, within 1000 ms

  Scenario: A limit that is lowered and withdrawn
    When callers send 40 requests a second over all entries, for 2 s
    And target 1 names a limit of 4 a second and callers go on for 6 s
    And target 1 names a limit of 2 a second and callers go on for 10 s
    Then no target got more than its limit allows
    When target 1 names no limit and callers go on for 6 s
    Then target 1 got at least 5 requests a second in the last 3 s
    And the callers got status 200 each time, within 1000 ms

  Scenario: All targets name a limit that is below what callers ask for
    When callers send 40 requests a second over all entries, for 2 s
    And all targets name a limit of 5 a second and callers go on for 10 s
    Then no target got more than its limit allows
    And all targets together got at least 10 requests a second in the last 6 s
    And the callers got status 200 or 503 each time, within 1000 ms
    And each refusal named a retry time
