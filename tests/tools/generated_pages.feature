Feature: Pages that are made from the code can't drift from it

  Scenario: A missing, a fresh and a changed page
    Given an empty folder for generated pages
    Then the check of the generated pages fails on "RESULT_CODES.md"
    When the generated pages are written
    Then the check of the generated pages passes
    When a line of "CONFIGURATION.md" is changed by hand
    Then the check of the generated pages fails on "CONFIGURATION.md"

  Scenario: The page on configuration names type, unit, default and bounds
    Given an empty folder for generated pages
    When the generated pages are written
    Then "CONFIGURATION.md" has the row | `/lookup_lifetime_s` | number | s | `5.0` | at least 0.5, at most 300 | Seconds for which a caller may cache a look-up answer. |
    And "CONFIGURATION.md" has the row | `/instance/roles` | list: one of `entry`, `control` |  |  | at least 1 entry | Roles of the instance. |
