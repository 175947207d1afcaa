Feature: The logs alone tell where requests were lost

  Pattern: operators are told that a service was bad for some seconds; no request is
  named, and under load not each has a line.

  Scenario: Refused, failed and late requests are summed up by time, route and reason
    Given log lines of two instances:
      | instance | after s | text     | fields                                                              |
      | north-1  | 0       | ready    | revision=2                                                          |
      | north-1  | 0.5     | refused  | route=r code_name=targets_without_room ran=no                       |
      | south-1  | 1.9     | refused  | route=r code_name=targets_without_room ran=no                       |
      | south-1  | 2.1     | refused  | route=r code_name=target_timed_out ran=unknown                      |
      | north-1  | 2.2     | answered | route=q is_late=true known=false load=1.0 attempts=1                |
      | north-1  | 2.3     | answered | route=q is_late=true known=true load=3.0 attempts=1                 |
      | north-1  | 2.4     | answered | route=q is_late=true known=true load=3.0 attempts=2                 |
      | north-1  | 2.5     | answered | route=q is_late=true known=true load=1.0 attempts=1                 |
      | north-1  | 2.6     | answered | route=q is_late=false known=true load=1.0 attempts=1                |
    When "mothshunt losses" reads them
    Then the losses are:
      | from s | route | reason                             | requests |
      | 0      | r     | refused: targets_without_room      | 2        |
      | 2      | r     | failed: target_timed_out           | 1        |
      | 2      | q     | late: a further attempt            | 1        |
      | 2      | q     | late: object unknown to its target | 1        |
      | 2      | q     | late: target slower than usual     | 1        |
      | 2      | q     | late: waited behind others         | 1        |
    And in total 2 requests were lost by "refused: targets_without_room"

  Scenario: What was left out under load is counted, and the rows can tell instances
    Given log lines of two instances:
      | instance | after s | text                | fields                                        |
      | north-1  | 0       | refused             | route=r code_name=targets_without_room ran=no |
      | south-1  | 1       | refused             | route=r code_name=targets_without_room ran=no |
      | south-1  | 1       | lines were left out | lines={"refused": 40, "answered": 7}          |
    When "mothshunt losses --by-instance --step 10" reads them
    Then the losses are:
      | from s | instance | reason                        | requests |
      | 0      | south-1  | not told: refused             | 40       |
      | 0      | south-1  | not told: answered            | 7        |
      | 0      | north-1  | refused: targets_without_room | 1        |
      | 0      | south-1  | refused: targets_without_room | 1        |

  Scenario: Without a line that can be read there is nothing to sum up
    Given a log of 3 lines that can't be read
    When "mothshunt losses" reads them
    Then the command exits with 3 and says "no line could be read (bad lines: 3)"

  Scenario Outline: A step that is no time is refused
    Given a log of 3 lines that can't be read
    When "mothshunt losses --step <step>" reads them
    Then the command exits with 2 and says "is no time of"

    Examples:
      | step |
      | 0    |
      | -1   |
      | soon |
      | nan  |
