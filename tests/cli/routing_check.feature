Feature: A file of routing items is checked before it is sent
  A fault that is found only when the file is applied delays the change, and an entry that
  never matches is not noticed at all.

  Scenario Outline: Each problem of a broken file is named once, at its path
    Given a good file of routing items, but with <values>
    When "mothshunt routing check file.json --output json" is run
    Then the command exits with <code>
    And the check finds <findings>
    And the command prints no key

    Examples: Errors
      | values                                                                          | code | findings                                                                                                               |
      | /routes/0/timeout_ms=0, /dropped_services=[{"name":"spare","version":2}]        | 2    | /routes/0/timeout_ms routing_item_invalid, /routes/1/services/1/service route_of_unknown_service                       |
      | /routes/0/path_prefix="r", /routes/0/services/0/service="x"                     | 2    | /routes/0/path_prefix routing_item_invalid, /routes/0/services/0/service route_of_unknown_service                      |
      | /routes/1/path_prefix="/r/"                                                     | 2    | /routes/1/path_prefix route_place_taken                                                                                |
      | /routes/0/max_attempts=0, /routes/1/timeout_ms=0, /workspaces/0/secret-key=true | 2    | /routes/0/max_attempts admin_body_invalid, /workspaces/0 admin_body_invalid, /routes/1/timeout_ms routing_item_invalid |
      | /services/0/max_connections=-1, /routes/0/path_prefix=5                         | 2    | /services/0/max_connections admin_body_invalid, /routes/0/path_prefix admin_body_invalid                               |
      | /workspaces/1/keys=["secret-key","secret-2"]                                    | 2    | /workspaces/1/keys workspace_key_taken                                                                                 |

    Examples: Warnings
      | values                                                                 | code | findings                                                                               |
      | /routes/1/path_prefix="/r/", /routes/1/host="Shop.example"             | 1    | /routes/1/path_prefix route_shadowed                                                   |
      | /routes/0/host="shop.example:80", /routes/1/services/1/weight=0        | 1    | /routes/0/host host_never_matches, /routes/1/services/1/weight weight_zero             |
      | /routes/0/target_latency_ms=3000, /services/2={"name":"u","version":1} | 1    | /routes/0/timeout_ms timeout_below_target_latency, /services/2 service_unused          |
      | /workspaces/0/home_regions=["south"], /workspaces/1/keys=[]            | 1    | /workspaces/0/home_regions no_common_region, /workspaces/1/keys workspace_without_keys |

  Scenario: A good file has no findings, without a deployment
    Given a good file of routing items
    When "mothshunt routing check file.json" is run
    Then the command exits with 0

  Scenario: A deployment that cannot be reached is not taken for one without differences
    Given a good file of routing items
    And only the address that takes no connection is known
    When "mothshunt routing check file.json" is run
    Then the command exits with 6
    When "mothshunt routing check file.json --offline" is run
    Then the command exits with 0

  Scenario: A text that is no JSON is one error
    Given a file of routing items that is no JSON
    When "mothshunt routing check file.json --output json" is run
    Then the command exits with 2
    And the check finds / admin_body_invalid

  Scenario: A deployment adds what its targets cannot do, and the differences
    Given a command line whose deployment routes by hosts
    And a good file of routing items, but with /workspaces/0/requests_per_s=11, /workspaces/1/home_regions=["south","north"]
    And a target with 1 slot in region "north" serves "stock"
    And "mothshunt routing apply routes.json" was run
    When "mothshunt routing check file.json --output json" is run
    Then the command exits with 1
    And the check finds /routes/1/services/1/service service_without_targets, /workspaces/0/requests_per_s quota_above_capacity, /workspaces/1/home_regions/0 region_without_targets
    And the check's differences are route other added, route r added, route reads dropped without effect, service spare added, workspace baker added, workspace florist added
    When "mothshunt routing apply file.json" is run
    And "mothshunt routing check file.json --output json" is run
    Then the check's differences are route reads dropped without effect
    Given a good file of routing items, but with /routes/0/version=2, /routes/0/timeout_ms=2500, /workspaces/0/keys=["secret-3"], /dropped_routes=[{"name":"reads","version":9}]
    When "mothshunt routing check file.json --output json" is run
    Then the check's differences are route r changed timeout_ms, route reads dropped, workspace baker changed home_regions without effect, workspace florist changed key_digests requests_per_s without effect
    And the command prints no key
