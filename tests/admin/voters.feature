Feature: Voters through the administration API

  Background:
    Given an administration API

  Scenario: A voter is added by its record and removed
    Given the instance "b1" is recorded
    When a voter is posted as {"id": "b1"}
    Then the administration API answers 200
    When GET /v1/voters is asked by the bootstrap administrator
    Then the answer's "voters.1.id" is "b1"
    And the answer's "voters.1.port" is 8003
    When DELETE /v1/voters/b1 is asked by the bootstrap administrator
    Then the administration API answers 200
    When DELETE /v1/voters/b1 is asked by the bootstrap administrator
    Then the answer's "log_index" is None

  Scenario: There are never more than seven voters
    Given the voters are 7 instances
    When a voter is posted as {"id": "v8", "host": "127.0.0.1", "port": 8}
    Then the administration API refuses with 409 and code 3016 "too_many_voters"

  Scenario: An instance that can't confirm what it knows decides nothing on voters
    Given the voters are 2 instances
    And the administration API has no majority
    When a voter is posted as {"id": "v1", "host": "127.0.0.1", "port": 1}
    Then the administration API refuses with 503 and code 4999 "no_majority"
    When DELETE /v1/voters/v1 is asked by the bootstrap administrator
    Then the administration API refuses with 503 and code 4999 "no_majority"
    When GET /v1/voters?confirmed=true is asked by the bootstrap administrator
    Then the administration API refuses with 503 and code 4999 "no_majority"
    When GET /v1/voters is asked by the bootstrap administrator
    Then the administration API answers 200

  Scenario: An instance of which nothing is known is refused
    When a voter is posted as {"id": "b1"}
    Then the administration API refuses with 404 and code 3017 "voter_unknown"
    When DELETE /v1/voters/b1 is asked by the bootstrap administrator
    Then the administration API refuses with 404 and code 3017 "voter_unknown"

  Scenario: An instance without the role control can't vote
    Given the instance "b1" is recorded as an entry only
    When a voter is posted as {"id": "b1"}
    Then the administration API refuses with 409 and code 3021 "voter_without_role"

  Scenario: The only voter stays
    When DELETE /v1/voters/a1 is asked by the bootstrap administrator
    Then the administration API refuses with 409 and code 3018 "last_voter"

  Scenario: A body that is no voter is refused
    When a voter is posted as {"id": 1, "colour": "red"}
    Then the administration API refuses with 400 and code 3005 "admin_body_invalid"
    And the answer names the faults 3005 /id, 3005 /colour
