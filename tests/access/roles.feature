Feature: Operators, tokens and roles
  Guards against operators who can do more than their grants allow, and against a
  deployment that nobody can administer any more.

  Background:
    Given the operators:
      | id    | token   | grants                            |
      | ada   | token-a | *:administer                      |
      | budi  | token-b | rackhaven:change, sleman:read     |
      | citra | token-c | rackhaven:drain                   |
      | dewi  | token-d | *:read                            |
      | empty | token-e |                                   |

  Scenario Outline: A token gives the roles of its operator and no more
    A role includes the lower ones, but only for the customers of its grant. The
    customer * stands for the deployment as a whole. The verdict is the operator that
    was authorized, or the code of the failure.
    Then "<token>" as <role> of "<customer>" is <verdict>

    Examples:
      | token     | role       | customer  | verdict |
      | token-a   | administer | rackhaven | ada     |
      | token-a   | administer | *         | ada     |
      | token-b   | read       | rackhaven | budi    |
      | token-b   | drain      | rackhaven | budi    |
      | token-b   | change     | rackhaven | budi    |
      | token-b   | administer | rackhaven | 3203    |
      | token-b   | read       | sleman    | budi    |
      | token-b   | drain      | sleman    | 3203    |
      | token-b   | read       | other     | 3203    |
      | token-b   | read       | *         | 3203    |
      | token-c   | change     | rackhaven | 3203    |
      | token-d   | read       | other     | dewi    |
      | token-d   | drain      | other     | 3203    |
      | token-e   | read       | rackhaven | 3203    |
      | token-x   | read       | rackhaven | 3202    |
      |           | read       | rackhaven | 3201    |
      | bootstrap | administer | *         | bootstrap |

  Scenario: Without a bootstrap token in the settings no bootstrap token is accepted
    Guards against a default token that works in each deployment.
    Given the settings name no bootstrap token
    Then "bootstrap" as read of "rackhaven" is 3202

  Scenario: New tokens are long and differ
    Tokens are stored as plain hashes, which is safe only if they can't be guessed.
    Then 100 new tokens all differ and hold at least 43 characters

  Scenario Outline: The last administrator of all customers can't be removed
    Guards against a removal or a change of grants after which no operator could
    change operators.
    Given the operator "dewi" has the grants "<grants>"
    Then replacing "ada" by grants "<replacement>" is <verdict>

    Examples:
      | grants       | replacement          | verdict |
      | *:read       | removed              | 3204    |
      | *:read       | *:change             | 3204    |
      | *:read       | rackhaven:administer | 3204    |
      | *:read       | *:administer         | allowed |
      | *:administer | removed              | allowed |
