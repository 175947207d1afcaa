Feature: A control instance issues only what is its share for certain

  Scenario Outline: The share depends on the members and on what is confirmed
    Given the share of a control instance <begin>
    When it sees <members> members from 0 s on, confirmed until <confirmed> s
    Then its share at <at> s is <share>

    Examples:
      | begin                        | members | confirmed | at   | share  |
      | that founds the log          | 5       | 1         | 1    | 0.2    |
      | that founds the log          | 5       | 1         | 8.9  | 0.2    |
      | that founds the log          | 5       | 1         | 9.1  | 0      |
      | that has restarted           | 5       | 20        | 1    | 0.1667 |
      | that has restarted           | 5       | 20        | 8.1  | 0.2    |
      | that is new among others     | 5       | 20        | 7.9  | 0      |
      | that is new among others     | 5       | 20        | 8.1  | 0.2    |
      | that founds the log          | 0       | 20        | 8.1  | 0      |

  # Guards against the failure that the others issue more at once when a member has been
  # removed that doesn't know of it.
  Scenario: A share rises only when members before have learned of the change
    Given the share of a control instance that founds the log
    When it sees 6 members from 0 s on, confirmed until 40 s
    And it sees 5 members from 20 s on, confirmed until 40 s
    Then its share at 27.9 s is 0.1667
    And its share at 28.1 s is 0.2

  Scenario: A share falls at once
    Given the share of a control instance that founds the log
    When it sees 5 members from 0 s on, confirmed until 40 s
    And it sees 6 members from 20 s on, confirmed until 40 s
    Then its share at 20.1 s is 0.1667
