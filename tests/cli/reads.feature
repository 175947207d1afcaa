Feature: The command line shows and restores what was changed

  Background:
    Given a command line whose deployment has one control instance
    And "mothshunt contract apply rackhaven.json --change-id first" was run
    And "mothshunt contract apply smaller-cap.json --change-id second --summary 'less shift'" was run

  Scenario: A diff names what would change
    When "mothshunt contract diff rackhaven.json --output json" is run
    Then the command exits with 0
    And the command's JSON has "lines.0.path" "/shift/cap"
    And the command's JSON has "lines.0.after" 60

  Scenario: The history and the audit trail name operator and summary
    When "mothshunt contract history rackhaven" is run
    Then the command prints "less shift"
    When "mothshunt audit --output json" is run
    Then the command's JSON has "records.0.change_id" "second"
    And the command's JSON has "records.0.operator" "bootstrap"

  Scenario: A rollback is a new revision
    When "mothshunt contract rollback rackhaven 1 --wait --output json" is run
    Then the command exits with 0
    And the command's JSON has "revision" 3
    When "mothshunt contract show rackhaven --file" is run
    Then the command's JSON has "shift.cap" 60

  Scenario: A rollback to a revision that is not in the history is refused
    When "mothshunt contract rollback rackhaven 9" is run
    Then the command exits with 3
    And the command complains "3015 revision_unknown"

  Scenario: A contract is removed
    When "mothshunt contract delete rackhaven" is run
    Then the command exits with 0
    When "mothshunt contract show rackhaven" is run
    Then the command exits with 3
    When "mothshunt contract delete rackhaven" is run
    Then the command exits with 3
    And the command complains "3013 contract_unknown"

  Scenario: What became of a change
    When "mothshunt change show second --output json" is run
    Then the command's JSON has "revision" 2
    When "mothshunt change show third" is run
    Then the command exits with 3
    And the command complains "3012 change_unknown"

  Scenario: A read whose answer is lost is asked again and its refusal is known
    Given the answers to the first 1 GET requests are lost
    When "mothshunt change show third" is run
    Then the command exits with 3
    And the command complains "3012 change_unknown"

  Scenario: An operator is made, used and removed
    When "mothshunt operators set budi --grant rackhaven=change --output json" is run
    Then the command exits with 0
    When the command line uses the token that was printed
    And "mothshunt contract apply rackhaven.json" is run
    Then the command exits with 0
    When "mothshunt contract apply sleman.json" is run
    Then the command exits with 3
    And the command complains "3203 role_insufficient"
    When the command line uses the token of the bootstrap administrator
    And "mothshunt operators list" is run
    Then the command prints "rackhaven=change"
    When "mothshunt operators remove budi" is run
    Then the command exits with 0
    When "mothshunt operators remove budi" is run
    Then the command exits with 3

  Scenario: An operator whose answer is lost keeps the token that was printed
    Given the answers to the first 1 PUT requests are lost
    When "mothshunt operators set budi --grant *=read --output json" is run
    Then the command exits with 0
    When the command line uses the token that was printed
    And "mothshunt status" is run
    Then the command exits with 0

  Scenario: A change id that is run again shows no token that was never kept
    When "mothshunt operators set budi --grant *=read --change-id same" is run
    And "mothshunt operators set budi --grant *=read --change-id same --base-revision 0" is run
    Then the command exits with 3
    And the command complains "3010 change_refused"
    And the command prints nothing

  Scenario: Voters are listed, added and removed
    When "mothshunt members add b1 --host 127.0.0.1 --port 8003 --output json" is run
    Then the command exits with 0
    And the command's JSON has "voter" "b1"
    When "mothshunt members list" is run
    Then the command prints "leader"
    And the command prints "8003"
    When "mothshunt members remove b1" is run
    Then the command exits with 0
    When "mothshunt members remove a1" is run
    Then the command exits with 3
    And the command complains "3018 last_voter"

  Scenario: The voters are shown also without a majority
    Given the control instance of the command line has no majority
    When "mothshunt members list" is run
    Then the command exits with 0
    And the command prints "leader"

  Scenario: The result codes are explained
    When "mothshunt codes" is run
    Then the command prints "change_outcome_unknown"

  Scenario: A look-up is shown as the caller would see it
    Given a traffic address that answers look-ups with {"entries": [{"instance": "a1"}], "lifetime_ms": 5000}
    When "mothshunt lookup rackhaven cabinet-status --client 10.0.0.1 --traffic $TRAFFIC --output json" is run
    Then the command exits with 0
    And the command's JSON has "entries.0.instance" "a1"
    And the look-up asked for "customer=rackhaven&service=cabinet-status&client=10.0.0.1"

  Scenario: Without a ready entry no look-up is made
    When "mothshunt lookup rackhaven cabinet-status" is run
    Then the command exits with 6
    And the command complains "no instance is ready for callers"
