Feature: Entry and control instances exchange rate limits and tokens

  Background:
    Given a control instance, and the entry instances "e1" and "e2"
    And a target "t1" that both entry instances know

  Scenario: All entry instances follow a limit that one of them has heard of
    When "e1" receives a response of "t1" with a limit of 5 a second
    Then "e1" and "e2" know a limit of 5 a second of "t1"
    And "e2" gets no token for "t1"

  Scenario: All entry instances stop following a limit when one hears of its end
    When "e1" receives a response of "t1" with a limit of 5 a second
    And 1 s passes
    And "e2" receives a response of "t1" without a limit
    Then "e1" and "e2" know no limit of "t1"
    And "e1" may send to "t1" without a token

  # Guards against the failure that an entry instance sends freely after its restart, until
  # a response to itself names the limit.
  Scenario: An entry instance that attaches is told of the limits
    When "e1" receives a response of "t1" with a limit of 5 a second
    And the entry instance "e2" restarts
    Then "e2" knows a limit of 5 a second of "t1"

  Scenario: Small changes of a limit are not announced, large ones are
    When "e1" receives a response of "t1" with a limit of 5 a second
    And 1 s passes
    And "e1" receives a response of "t1" with a limit of 5.2 a second
    Then "e2" knows a limit of 5 a second of "t1"
    When 1 s passes
    And "e1" receives a response of "t1" with a limit of 8 a second
    Then "e2" knows a limit of 8 a second of "t1"

  Scenario: The tokens of both entry instances together keep within the limit
    When "e1" receives a response of "t1" with a limit of 5 a second
    And 0.5 s passes
    Then "e1" and "e2" together get 45 to 55 tokens for "t1" in 10 s

  Scenario: A request that was chosen before the limit was known is not sent without a token
    When "e1" chooses "t1" for a request
    And "e2" receives a response of "t1" with a limit of 5 a second
    Then "e1" may not send that request

  Scenario: A token that was not used in time is void
    When "e1" receives a response of "t1" with a limit of 5 a second
    And 1 s passes
    And "e1" chooses "t1" for a request and gets a token for it
    Then "e1" may send that request
    When 0.6 s passes
    Then "e1" may not send that request

  Scenario: A control instance that does not answer costs little time
    When "e1" receives a response of "t1" with a limit of 5 a second
    And the control instance is cut off
    Then "e1" gets no token for "t1", after 0.15 s
    And "e1" gets no token for "t1", after 0 s

  # Guards against the failure that a request with little time left makes the entry
  # instance take a control instance of a distant region for silent.
  Scenario: A control instance that had less time to answer than usual is asked again
    When "e1" receives a response of "t1" with a limit of 5 a second
    And the control instance is cut off
    Then "e1" gets no token for "t1" with 0.2 s left, after 0.05 s
    And "e1" gets no token for "t1" with 0.2 s left, after 0.05 s

  Scenario: News of an older incarnation does not limit the present one
    When "e1" receives a response of "t1" with a limit of 5 a second
    And "t1" restarts, as all entry instances hear
    Then "e1" may send to "t1" without a token

  # Guards against the failure that targets which were replaced while they named a limit
  # count as limited for good.
  Scenario: The limit of a target that is gone is forgotten
    When "e1" receives a response of "t1" with a limit of 5 a second
    Then 1 targets are limited at "e1" and at the control instance
    When "t1" is removed, as all instances hear
    Then 0 targets are limited at "e1" and at the control instance
