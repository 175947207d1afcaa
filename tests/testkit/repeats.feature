Feature: A key is sent again until its first answer is kept

  Pattern: the repeat comes through another entry before the first answer is recorded.

  Scenario: The first answer is recorded while the key is sent again
    Given a key whose answer is kept 1.5 s after its first caller has it
    When the key is sent again until its answer is kept
    Then the repeat got the first answer after 2 s and 3 tries

  Scenario: An answer that is never recorded is told after the time for it
    Given a key whose answer is never kept
    When the key is sent again until its answer is kept
    Then the repeat got "in_progress" after 5 s and 6 tries

  Scenario: Any other refusal ends the repeat
    Given a key whose outcome is unknown
    When the key is sent again until its answer is kept
    Then the repeat got "outcome_unknown" after 0 s and 1 tries
