Feature: Check of a contract
  A contract with a fault must be refused before it takes effect, and the operator
  must learn every fault at once, with its path.

  Scenario Outline: A valid contract has no fault
    A check that is too strict would refuse contracts that are in use.
    Given the contract document of "<customer>"
    Then the contract has no fault

    Examples:
      | customer  |
      | rackhaven |
      | sleman    |

  Scenario Outline: Each fault is reported with its path
    A single value is out of range or contradicts another one.
    Given the contract document of "rackhaven"
    When the contract's "<path>" is <value>
    Then the contract has the faults <faults>

    Examples: values out of range
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

    Examples: values at the end of their range
      | path                       | value                               | faults |
      | /shift/cap                 | 140                                 | none   |
      | /shift                     | {"cap": 0, "step": 1}               | none   |
      | /links/0/capacity          | 60                                  | none   |
      | /services/0/idempotent     | [{"method": "PUT", "path": "/a"}, {"method": "DELETE", "path": "/a"}] | none |

  Scenario: All faults are reported at once
    A check that stops at the first fault would make operators repeat it for each one.
    Given the contract document of "rackhaven"
    When the contract's "/shift/cap" is 141
    And the contract's "/links/0/capacity" is 99
    And the contract's "/services/1/service" is "cabinet-status"
    Then the contract has the faults 3104 /services/1, 3107 /links/0/capacity, 3108 /shift/cap

  Scenario: A repeated key is a fault
    A JSON parser keeps the last of two values, which may not be the one meant.
    Given the contract text '{"customer": "a", "shift": {"cap": 1, "cap": 2}}'
    Then the contract's faults include 3103 /shift/cap

  Scenario Outline: A text that is not JSON is refused
    The text is incomplete, empty or followed by something else.
    Given the contract text '<text>'
    Then the contract has the faults 3101 

    Examples:
      | text |
      | {    |
      |      |
      | {"customer": "a"} x |

  Scenario: A deeply nested text is refused
    Python's JSON parser raises RecursionError, which must not end the process.
    Given a contract text of 100000 opening brackets
    Then the contract has the faults 3101 

  Scenario: A diff identifies list items by name and shows both values
    With an index, each item after a removed one would show as changed.
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
