Feature: Workspaces are merged by their own version, and no two share a key
  A key identifies one workspace. If two had it, quotas and home regions of a request
  would depend on chance.

  Scenario: The highest version of a workspace takes effect, whether it sets or drops
    A late patch must not restore a key that was removed.
    Given no routing items
    When workspace "a" with keys "one" is set at version 5
    And workspace "a" is dropped at version 7
    And workspace "a" with keys "one" is set at version 6
    Then the key "one" belongs to no workspace
    When workspace "a" with keys "two" is set at version 8
    Then the key "two" belongs to workspace "a"
    And the key "one" belongs to no workspace

  Scenario Outline: An invalid workspace is refused and nothing of the patch takes effect
    The valid workspace in the same patch must not be stored either.
    Given no routing items
    When workspace "a" with keys "one" is set at version 5
    And a patch of a valid workspace and one with <fault> is sent
    Then the patch was refused with code <code> and contains no key
    And the key "valid" belongs to no workspace

    Examples:
      | fault                              | code |
      | a stored key of another workspace  | 2708 |
      | the key of the valid one           | 2708 |
      | a negative quota                   | 2701 |
      | a negative burst                   | 2701 |
      | an infinite quota                  | 2701 |
      | a line break in its name           | 2701 |

  Scenario: A key moves to another workspace in one patch
    Given no routing items
    When workspace "a" with keys "one, two" is set at version 5
    And one patch moves the key "one" from "a" to "b" at version 6
    Then the key "one" belongs to workspace "b"
    And the key "two" belongs to workspace "a"

  Scenario: A patch that was accepted is acknowledged again after its key has moved
    An operator who repeats the call after a lost answer must not get an error.
    Given no routing items
    When workspace "a" with keys "one" is set at version 5
    And one patch moves the key "one" from "a" to "b" at version 6
    And workspace "a" with keys "one" is set at version 5
    Then the key "one" belongs to workspace "b"

  Scenario: A workspace without keys stays, and its keys belong to nobody
    Given no routing items
    When workspace "a" with keys "one" is set at version 5
    And workspace "a" with keys "" is set at version 6
    Then the key "one" belongs to no workspace
    And workspace "a" exists

  Scenario: Instances get the digests of keys, and operators the keys as they sent them
    Entry instances don't need keys, so a copy of their memory must not reveal them.
    When the replicated configuration applies workspace "a" with keys "one, two"
    Then the configuration that is delivered contains no key
    And the key "two" belongs to workspace "a" in the delivered configuration
    And the operator's document of workspace "a" contains the keys
