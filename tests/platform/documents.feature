Feature: What comes from the platform's wire is decoded once, or refused clearly

  Scenario: Any bytes are read or refused
    Then 500 random documents are read or refused, each with a place and a problem

  Scenario: A report of a target becomes a renewal
    When the platform's target "i-1" reports '{"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":4,"state":"draining","cold_remaining":"1.5s","sequence":4,"born":77}'
    Then the renewal is of "i-1" with incarnation 77, sequence 4 and state leaving
    And the renewal is cold for 1500 ms

  Scenario Outline: A report that is not as the pages say names no target
    When the platform's target "i-1" reports '<report>'
    Then the report is refused at "<place>"

    Examples:
      | report                                                                                                       | place    |
      | {"service":"s","address":"10.0.0.9","zone":"z","slots":4,"state":"ready","sequence":4}                       | address  |
      | {"service":"s","address":"ten:80","zone":"z","slots":4,"state":"ready","sequence":4}                         | address  |
      | {"service":"s","address":"10.0.0.9:80","zone":"nowhere","slots":4,"state":"ready","sequence":4}              | zone     |
      | {"service":"s","address":"10.0.0.9:80","zone":"z","slots":true,"state":"ready","sequence":4}                 | slots    |
      | {"service":"s","address":"10.0.0.9:80","zone":"z","slots":4,"state":"lurking","sequence":4}                  | state    |
      | {"service":"s","address":"10.0.0.9:80","zone":"z","slots":4,"state":"ready","sequence":"4"}                  | sequence |
      | {"service":7,"address":"10.0.0.9:80","zone":"z","slots":4,"state":"ready","sequence":4}                      | service  |
      | {"service":"s","address":"10.0.0.9:80","zone":"z","slots":4,"state":"ready","sequence":4,"born":"yesterday"} | born     |
      | {"service":"s","address":"10.0.0.9:80","zone":"z","slots":4,"state":"ready","sequence":4,"version":"\ud83d"} | version  |
      | {"service":"\udc00","address":"10.0.0.9:80","zone":"z","slots":4,"state":"ready","sequence":4}             | service  |

  Scenario: Items are given back as they were sent
    When the platform's operator sends a patch of all kinds of items
    Then the items that are read back are those that were sent

  Scenario Outline: A patch that can't be read in full is refused
    When the platform's operator sends '<patch>'
    Then the patch is refused

    Examples:
      | patch                                                                                   |
      | {"upsert":{"hosts":[{"host":"h","paths":[{"name":"r"                                    |
      | {"upsert":{"hosts":[{"host":"h","paths":[{"name":"r"}]}]}}                              |
      | {"upsert":{"hosts":{"host":"h"}}}                                                       |
      | {"remove":{"routes":[{"name":"r"}]}}                                                    |
      | {"upsert":{"limits":{"max_header_bytes":"many","version":"r1"}}}                        |
      | []                                                                                      |
      | {"upsert":{"tenants":[{"name":"w","api_keys":[""],"version":"r1"}]}}                    |
      | {"upsert":{"tenants":[{"name":"w","api_keys":["<256 letters>"],"version":"r1"}]}}       |
      | {"upsert":{"tenants":[{"name":"w","api_keys":[7],"version":"r1"}]}}                     |
      | {"upsert":{"tenants":[{"name":"w","api_keys":"k","version":"r1"}]}}                     |
      | {"upsert":{"tenants":[{"name":7,"api_keys":["k"],"version":"r1"}]}}                     |
      | {"upsert":{"tenants":[{"name":"w","api_keys":["k"],"version":"1"}]}}                    |
      | {"upsert":{"tenants":[{"name":"w","api_keys":["k"]}]}}                                  |
      | {"upsert":{"tenants":[{"name":"w","per_s":"many","version":"r1"}]}}                     |
      | {"upsert":{"tenants":[{"name":"w","per_s":1<400 zeros>,"version":"r1"}]}}               |
      | {"upsert":{"tenants":[{"name":"w","priority":-1,"version":"r1"}]}}                      |
      | {"upsert":{"tenants":[7]}}                                                              |
      | {"upsert":{"hosts":[{"host":"h","paths":[{"name":"r","path_prefix":"/","kind":"safe","timeout":"1s","target_latency":"1s","priority":0,"service":"s","max_attempts":1,"allow_anonymous":"no","version":"r1"}]}]}} |
      | {"remove":{"tenants":[{"name":"w"}]}}                                                   |
      | {"remove":{"routes":[{"name":"\ud83d","version":"r1"}]}}                              |

  Scenario Outline: An item with a time that is too long for a float is kept
    Guards against a change that is acknowledged, and whose route, service or limits are
    gone because the stored item can't be decoded.
    When the platform's operator sends a patch whose <member> is 400 digits long
    Then the stored items that are read back are those that were sent

    Examples:
      | member                                |
      | upsert/hosts/0/paths/0/timeout        |
      | upsert/hosts/0/paths/0/target_latency |
      | upsert/services/0/cold_start          |
      | upsert/limits/header_timeout          |
      | upsert/limits/idle_timeout            |

  Scenario: A target that reports that it stays cold for too long to be a float is cold
    Guards against a target that is unknown because one figure of its report is odd.
    When the platform's target "i-1" reports '{"service":"s","address":"10.0.0.9:80","zone":"z","slots":4,"state":"ready","sequence":4,"cold_remaining":"<400 nines>ms"}'
    Then the renewal is cold for 3600000 ms

  Scenario Outline: A workspace whose values are out of range is refused as a whole
    Guards against a quota that rejects or admits everything by mistake.
    When the platform's operator sends '<patch>'
    Then the patch is read and its merge is refused with code <code>

    Examples:
      | patch                                                                                                          | code |
      | {"upsert":{"tenants":[{"name":"w","per_s":-1,"version":"r1"}]}}                                                | 2701 |
      | {"upsert":{"tenants":[{"name":"w","burst":-0.5,"version":"r1"}]}}                                              | 2701 |
      | {"upsert":{"tenants":[{"name":"v","api_keys":["k"],"version":"r1"},{"name":"w","api_keys":["k"],"version":"r1"}]}} | 2708 |

  Scenario: A key with characters that no header field contains does not stop the decoding
    When the platform's operator sends '{"upsert":{"tenants":[{"name":"w","api_keys":["\\ud800"],"version":"r1"}]}}'
    Then the patch is read and has 1 workspaces

  Scenario: Settings become those of the product
    When the platform hands out settings of a core machine
    Then the instance is "10.1.0.17" with peers at port 7620
    And it may found a log of 5 voters with "10.1.0.17, 10.2.0.44, 10.3.0.40"
    And a leave takes 6 s and a retry budget of 0.2 and 56 is shared

  Scenario Outline: A route of a known kind is taken, one of an unknown kind is refused
    Guards against a configuration that is refused whole because of large downloads.

    When the platform's operator sends a route of kind "<kind>"
    Then the route is <result>

    Examples:
      | kind           | result         |
      | safe           | idempotent     |
      | download       | idempotent     |
      | non_idempotent | non_idempotent |
      | lurking        | refused        |

  Scenario Outline: The load of a target is read from the first figures of its header
    Guards against a load that is ignored because the target reports further figures.

    When a target's response reports the load "<header>"
    Then the load is read as "<load>" with a slowdown of <slowdown>

    Examples:
      | header            | load  | slowdown |
      | 3,0,8             | 3+0/8 | 1.0      |
      | 3, 1, 8           | 3+1/8 | 1.0      |
      | 3,0,8,250         | 3+0/8 | 2.5      |
      | 3,0,8,250,x,7     | 3+0/8 | 2.5      |
      | 3,0,8,quick       | 3+0/8 | 1.0      |
      | 3,0,8,0           | 3+0/8 | 1.0      |
      | 3,0               | none  | 1.0      |
      | 3,0,eight         | none  | 1.0      |
      | -3,0,8,100        | none  | 1.0      |
