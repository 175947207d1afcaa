Feature: What a load counts as a violation

  Scenario Outline: Outcome against the record of runs
    Given a <method> that ended as <outcome>, said to have run: <ran>
    When targets ran it <runs> times
    Then the load reports <violations> violations

    Examples:
      | method | outcome | ran     | runs | violations |
      | POST   | whole   | -       | 1    | 0          |
      | POST   | whole   | -       | 2    | 1          |
      | POST   | whole   | -       | 0    | 1          |
      | POST   | refused | no      | 0    | 0          |
      | POST   | refused | no      | 1    | 1          |
      | POST   | refused | unknown | 1    | 0          |
      | POST   | broken  | -       | 2    | 1          |
      | GET    | whole   | -       | 2    | 0          |
      | GET    | wrong   | -       | 1    | 1          |
