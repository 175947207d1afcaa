Feature: An entry instance detects that it reaches no target, and nothing else as that

  Without the detection, callers are refused for as long as a partition lasts. A false
  detection moves requests to neighbours. Load: that of one entry instance of the
  customers in docs/SHARED_CAPACITY.md, 10 and 12 requests a second, and 5 a second.

  Scenario Outline: All targets are out of reach
    Given attempts of an entry instance under the load "<load>"
    When all attempts <fault> from some time on, in 200 runs
    Then each run finds the isolation within <bound> s

    Examples:
      | load                | fault       | bound |
      | florists            | hang        | 1     |
      | florists            | stay silent | 1     |
      | florists            | reset       | 1     |
      | utilities           | hang        | 1     |
      | utilities           | stay silent | 1     |
      | utilities           | reset       | 1     |
      | 5 requests a second | hang        | 4     |
      | 5 requests a second | stay silent | 4     |
      | 5 requests a second | reset       | 4     |

  Scenario Outline: Other faults are no isolation
    Given attempts of an entry instance under the load "<load>"
    When attempts <fault> for 60 s, in 50 runs
    Then no run finds an isolation

    Examples:
      | load      | fault                     |
      | florists  | are shed                  |
      | florists  | get lost half of the time |
      | florists  | get lost 1 in 10 times    |
      | florists  | fail for one service      |
      | florists  | fail for one zone         |
      | utilities | are shed                  |
      | utilities | get lost half of the time |
      | utilities | fail for one zone         |

  # Guards against a busy link that is taken for an isolation: relays load it once more,
  # and the links of the other instances with it.
  Scenario Outline: Responses that wait behind a large one are no isolation
    Given attempts of an entry instance under the load "<load>"
    When all responses wait behind a large one for 2 s of each 10 s
    Then no run finds an isolation

    Examples:
      | load      |
      | florists  |
      | utilities |

  Scenario: An isolation that begins while a large response arrives is found after its end
    Given attempts of an entry instance under the load "utilities"
    When a large response arrives while all attempts hang, and ends after 2 s
    Then an isolation is found within 3 s of its end, and not before

  Scenario Outline: A process that was suspended isn't isolated
    Given attempts of an entry instance under the load "<load>"
    When the process is suspended for <span> s, in 200 runs
    Then no run finds an isolation

    Examples:
      | load     | span |
      | florists | 0.6  |
      | florists | 3    |

  Scenario Outline: At most one false alarm in a thousand calm hours
    Given attempts of an entry instance under the load "<load>"
    When it is calm for 3 h
    Then no run finds an isolation
    And the evidence between responses tells of at most 1 alarm in 1000 h

    Examples:
      | load                |
      | florists            |
      | utilities           |
      | 5 requests a second |
