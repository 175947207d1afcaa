Feature: Pages that the administration API makes from the code

  Background:
    Given an administration API

  Scenario: The OpenAPI page names every operation and resolves its references
    When GET /v1/openapi.json is asked without a token
    Then the administration API answers 200
    And every reference of the OpenAPI page leads somewhere
    And the OpenAPI page has "put" of "/v1/contracts/{customer}" with the parameter "base_revision"

  Scenario: The result codes are listed without a token
    When GET /v1/codes is asked without a token
    Then the answer lists the result code 3009 "change_conflict"

  Scenario: Numbers and names of result codes are unique
    Then no number and no name of a result code is given twice

  Scenario Outline: Text that is not HTTP gets a numbered refusal
    When the bytes "<text>" are sent to the administration API
    Then the administration API answers in bytes with status 400 and code 3020
    And 1 administration refusals are counted as "admin_request_malformed"

    Examples:
      | text                          |
      | nonsense\r\n\r\n              |
      | GET / HTTP/1.1\r\nno header\r\n\r\n |
