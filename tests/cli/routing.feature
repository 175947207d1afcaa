Feature: Routing items through the command line

  Background:
    Given a command line whose deployment routes by hosts

  Scenario: A refusal after a lost answer is final where nothing can have been accepted
    Given the answers to the first 1 POST requests are lost
    When "mothshunt routing apply unknown-service.json" is run
    Then the command exits with 3
    And the command complains "2702 route_of_unknown_service"

  Scenario: A call whose answer is lost is sent again as the same call
    Given the answers to the first 1 POST requests are lost
    When "mothshunt routing apply routes.json --output json" is run
    Then the command exits with 0
    And the command's JSON has "changed" 0

  Scenario: A file that is no JSON is refused
    When "mothshunt routing apply no-json.json" is run
    Then the command exits with 3
    And the command complains "3005 admin_body_invalid"

  Scenario: Workspaces are applied from a file, shown without their keys and dropped
    When "mothshunt routing apply workspaces.json" is run
    Then the command exits with 0
    When "mothshunt routing workspaces florist --output json" is run
    Then the command exits with 0
    And the command's JSON has "workspaces.0.key_digests" ['85dbe15d75ef']
    When "mothshunt routing drop-workspace florist --version 2" is run
    Then the command exits with 0
    When "mothshunt routing workspaces --output json" is run
    Then the command's JSON has "workspaces" []
