Feature: The command line of the operators

  Background:
    Given a command line whose deployment has one control instance

  Scenario: A contract is applied and shown to be in force
    When "mothshunt contract apply rackhaven.json --wait --output json" is run
    Then the command exits with 0
    And the command's JSON has "status" "accepted"
    And the command's JSON has "revision" 1
    And the command's JSON has "in_force.missing" []
    When "mothshunt contract show rackhaven --output json" is run
    Then the command's JSON has "contract.weighs" "latency"
    When "mothshunt status" is run
    Then the command exits with 0
    And the command prints "newest revision          1"

  Scenario: An instance that lacks the change is named
    Given the command line's instance "b1" reports revision 0
    When "mothshunt contract apply rackhaven.json --wait --wait-timeout 0.3 --output json" is run
    Then the command exits with 7
    And the command's JSON has "in_force.missing" ['b1']
    When "mothshunt status --output json" is run
    Then the command's JSON has "lacking_newest_revision" ['b1']

  Scenario: A faulty contract is refused with every fault
    When "mothshunt contract validate faulty.json" is run
    Then the command exits with 3
    And the command complains "/shift/step: 3102 contract_invalid"
    When "mothshunt contract apply no-json.json" is run
    Then the command exits with 3
    And the command complains "3101 contract_malformed"
    And 0 changes of the command line were accepted

  Scenario: A conflict names the winner
    When "mothshunt contract apply rackhaven.json --change-id first" is run
    And "mothshunt contract apply rackhaven.json --base-revision 0" is run
    Then the command exits with 4
    And the command complains "change first of bootstrap was accepted at revision 1"

  Scenario: A change whose answer is lost is sent again as the same change
    Given the answers to the first 1 PUT requests are lost
    When "mothshunt contract apply rackhaven.json --output json" is run
    Then the command exits with 0
    And the command's JSON has "repeated" True
    And the control instance was sent 2 copies of one change
    And 1 changes of the command line were accepted

  Scenario Outline: A change whose answer is not valid HTTP is sent again as the same change
    Given the first answer to a PUT request has "<invalid>" in place of "<valid>"
    When "mothshunt contract apply rackhaven.json --output json" is run
    Then the command exits with 0
    And the command's JSON has "repeated" True
    And the control instance was sent 2 copies of one change

    Examples:
      | invalid          | valid          |
      | HTTP/1.1 000     | HTTP/1.1 200   |
      | HTTP/1.1 101     | HTTP/1.1 200   |
      | RTSP/1.0 200     | HTTP/1.1 200   |
      | Content-Length : | Content-Length: |

  Scenario: No copy is sent without the command line knowing
    Given the answers to the first 9 PUT requests are lost
    When "mothshunt contract apply rackhaven.json --timeout 0" is run
    Then the command exits with 5
    And the control instance was sent 1 copies of one change

  Scenario: A refusal after a lost answer doesn't say that nothing was changed
    Given the answers to the first 1 PUT requests are lost
    And the operator of the command line is removed after the first change
    When "mothshunt contract apply rackhaven.json" is run
    Then the command exits with 5
    And 3 changes of the command line were accepted

  Scenario: An outcome that stays unknown can be asked for
    Given the control instance of the command line never hears of commits
    When "mothshunt contract apply rackhaven.json --change-id first --timeout 0.5" is run
    Then the command exits with 5
    And the command complains "mothshunt change show first"
    When "mothshunt change show first --output json" is run
    Then the command exits with 0
    And the command's JSON has "status" "accepted"

  Scenario: Without a majority the change is known not to be made
    Given the control instance of the command line has no majority
    When "mothshunt contract apply rackhaven.json --base-revision 0 --timeout 0.5" is run
    Then the command exits with 6
    And the command complains "no_majority"

  Scenario: Addresses are tried in turn
    Given the first address of the command line takes no connection
    When "mothshunt contract apply rackhaven.json" is run
    Then the command exits with 0
    And 1 changes of the command line were accepted

  Scenario: No instance can be reached
    Given only the address that takes no connection is known
    When "mothshunt status" is run
    Then the command exits with 6

  Scenario: No attempt is begun after the time given
    Given two addresses of the command line take requests and never answer
    When "mothshunt contract apply rackhaven.json --base-revision 0 --timeout 0.1" is run
    Then the command exits with 5
    And 1 request was taken and not answered

  Scenario: A wrong token is refused
    Given the token of the command line is "guessed"
    When "mothshunt status" is run
    Then the command exits with 3
    And the command complains "3202 token_unknown"

  Scenario Outline: Wrong usage is told
    When "mothshunt <arguments>" is run
    Then the command exits with 2

    Examples:
      | arguments                     |
      | contract                      |
      | contract apply missing.json   |
      | drain add rack r1             |
      | --token-file missing status   |

  Scenario: Drains are made, shown and removed
    When "mothshunt drain add availability-zone north-a --wait --output json" is run
    Then the command exits with 0
    And the command's JSON has "drain.complete" True
    And the command complains "in force on 3 of 3 instances"
    When "mothshunt drain list" is run
    Then the command prints "north-a"
    When "mothshunt drain remove availability-zone north-a --wait" is run
    Then the command exits with 0
    When "mothshunt drain status availability-zone north-a" is run
    Then the command exits with 3

  Scenario: The version is printed
    When "mothshunt --version" is run
    Then the command exits with 0
    And the command prints "mothshunt 0.1.0"
