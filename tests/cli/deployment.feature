Feature: The command line on a deployment of real processes

  Background:
    Given a deployment of three control instances and an entry for the command line

  Scenario: An instance without the role control leads to those that have it
    When "status" is run at the instance without the role control
    Then the command line ends with 0

  Scenario: Ten operators race on one revision
    Given the contract was applied on the deployment
    When ten operators apply different contracts on the present revision at once
    Then one of the ten commands ends with 0 and the others with 4
    And the losers are told of the winner

  Scenario: The leader is killed while operators change what belongs to them
    Given the contract was applied on the deployment
    When ten operators drain a target each and the leader is killed meanwhile
    Then each of the ten commands ends with 0
    And the audit trail holds one change of each command
    And all of the ten drains are listed

  Scenario: Without a majority nothing is accepted, and a change sent again is one change
    Given the contract was applied on the deployment
    When two control instances are killed
    And a drain is added with a change id and too little time
    Then the command line ends with 5 or 6
    When the killed control instances are started again
    And the drain is added again with the same change id
    Then the command line ends with 0
    And the audit trail holds one change with that id

  Scenario: A voter is removed and added again, and takes part in changes
    When a follower is removed from the voters and added again
    Then the command line ends with 0
    And all three control instances are voters
    When one of the voters that never left is killed
    And the contract of rackhaven is applied with the command line
    Then the command line ends with 0
