Feature: A contract is checked whole

  Scenario Outline: The contracts of both customers have no fault
    Given the contract document of "<customer>"
    Then the contract has no fault

    Examples:
      | customer  |
      | rackhaven |
      | sleman    |

  Scenario Outline: Each contradiction is named with its path
    Given the contract document of "rackhaven"
    When the contract's "<path>" is <value>
    Then the contract has the faults <faults>

    Examples: values out of bounds
      | path                            | value  | faults                                  |
      | /weighs                         | "cost" | 3102 /weighs                            |
      | /unknown                        | 1      | 3102 /unknown                           |
      | /services/0/request_timeout_ms  | 49     | 3102 /services/0/request_timeout_ms     |
      | /services/0/request_timeout_ms  | 120001 | 3102 /services/0/request_timeout_ms     |
      | /services                       | []     | 3102 /services                          |
      | /regions/0/capacity             | 0      | 3102 /regions/0/capacity                |
      | /lookup_lifetime_s              | NaN    | 3102 /lookup_lifetime_s                 |
      | /retry                          | {"ratio": Infinity} | 3102 /retry/ratio          |

    Examples: values that contradict each other
      | path                       | value            | faults                           |
      | /services/1/service        | "cabinet-status" | 3104 /services/1                 |
      | /regions/3                 | {"region": "south", "capacity": 9} | 3104 /regions/3 |
      | /links/1                   | {"from_region": "north", "to_region": "south", "capacity": 1} | 3104 /links/1 |
      | /links/0/from_region       | "east"           | 3105 /links/0/from_region        |
      | /links/0/to_region         | "east"           | 3105 /links/0/to_region          |
      | /links/0/to_region         | "north"          | 3106 /links/0                    |
      | /links/0/capacity          | 61               | 3107 /links/0/capacity           |
      | /shift/cap                 | 141              | 3108 /shift/cap                  |
      | /shift/step                | 61               | 3109 /shift/step                 |
      | /shift/cap                 | 0                | 3109 /shift/step                 |
      | /services/0/idempotent     | [{"method": "PUT", "path": "/a*b"}] | 3110 /services/0/idempotent/0/path |
      | /services/0/idempotent     | [{"method": "PUT", "path": "/a"}, {"method": "PUT", "path": "/a"}] | 3111 /services/0/idempotent/1 |
      | /services/0/idempotent     | [{"method": "PUT", "path": "/a/b"}, {"method": "PUT", "path": "/a/*"}] | 3111 /services/0/idempotent/0 |

    Examples: values at their bounds
      | path                       | value                               | faults |
      | /shift/cap                 | 140                                 | none   |
      | /shift                     | {"cap": 0, "step": 1}               | none   |
      | /links/0/capacity          | 60                                  | none   |
      | /services/0/idempotent     | [{"method": "PUT", "path": "/a"}, {"method": "DELETE", "path": "/a"}] | none |

  Scenario: All faults are named at once
    Given the contract document of "rackhaven"
    When the contract's "/shift/cap" is 141
    And the contract's "/links/0/capacity" is 99
    And the contract's "/services/1/service" is "cabinet-status"
    Then the contract has the faults 3104 /services/1, 3107 /links/0/capacity, 3108 /shift/cap

  Scenario: A key that stands twice is a fault
    Given the contract text '{"customer": "a", "shift": {"cap": 1, "cap": 2}}'
    Then the contract's faults include 3103 /shift/cap

  Scenario Outline: A text that is no JSON is refused
    Given the contract text '<text>'
    Then the contract has the faults 3101 

    Examples:
      | text |
      | {    |
      |      |
      | {"customer": "a"} x |

  Scenario: Deep nesting is refused
    Given a contract text of 100000 opening brackets
    Then the contract has the faults 3101 

  Scenario: A diff names entries of lists and both values
    Given the contract document of "rackhaven"
    When the contract's "/services/1/request_timeout_ms" is 5000
    And the contract's "/regions/2/capacity" is 70
    And the contract's "/links" is []
    Then the contract's diff is:
      | path                                     | kind    | before | after |
      | /links/north>south                       | removed |        | None  |
      | /links/north>south/capacity              | removed | 20     | None  |
      | /regions/south/capacity                  | changed | 60     | 70    |
      | /services/site-access/request_timeout_ms | changed | 10000  | 5000  |
