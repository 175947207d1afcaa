Feature: What the instances hold of the targets, side by side

  Scenario: A target that one instance has not heard of stands out
    Given an instance at "a" that knows the targets "stock-1, stock-2"
    And an instance at "b" that knows the targets "stock-1"
    When their beliefs are put side by side
    Then the row of "stock-1" is the same on all of them
    And the row of "stock-2" differs: "b" holds "unknown"

  Scenario: A target that one instance still takes for its former incarnation stands out
    Given an instance at "a" that knows the targets "stock-1"
    And an instance at "b" that knows the targets "stock-1" of an earlier incarnation
    When their beliefs are put side by side
    Then the row of "stock-1" differs: "b" holds "serving 1 0.5 s"

  Scenario: An instance that does not answer is named with the reason
    Given an instance at "a" that knows the targets "stock-1"
    And an instance at "b" that does not answer
    When their beliefs are put side by side
    Then the row of "stock-1" is the same on all of them
    And the instance at "b" is shown with "no answer"

  Scenario: The command asks each address once, also where another is gone
    Given a command line whose deployment routes by hosts
    And the first address of the command line takes no connection
    When "mothshunt targets compare --output json" is run
    Then the command exits with 0
    And its answer names 2 instances, one of them with a failure

  Scenario: Where no address answers, the command says so
    Given a command line whose deployment routes by hosts
    And the first address of the command line takes no connection
    And only the address that takes no connection is known
    When "mothshunt targets compare" is run
    Then the command exits with 6
    And the command complains "no instance answered"
