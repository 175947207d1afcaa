Feature: Routing items through the administration API

  Background:
    Given an administration API of a routed deployment

  Scenario: Items are set, read back with their versions and dropped
    When POST /v1/routing is asked with the routing items "service stock 1, route reads 1"
    Then the administration API answers 200
    And the answer's "changed" is 2
    When GET /v1/routing is asked by the bootstrap administrator
    Then the answer's "routes.0.name" is reads
    And the answer's "routes.0.version" is 1
    And the answer's "services.0.name" is stock
    When POST /v1/routing is asked with the routing items "drop route reads 2"
    And GET /v1/routing is asked by the bootstrap administrator
    Then the answer's "routes" is []

  Scenario: An item at an equal or a lower version changes nothing and is acknowledged
    When POST /v1/routing is asked with the routing items "service stock 3"
    And POST /v1/routing is asked with the routing items "service stock 3"
    Then the administration API answers 200
    And the answer's "changed" is 0
    When POST /v1/routing is asked with the routing items "service stock 2"
    Then the administration API answers 200
    And the answer's "changed" is 0

  Scenario: A patch with a fault takes no effect at all
    When POST /v1/routing is asked with the routing items "service stock 1, route nowhere 1"
    Then the administration API refuses with 400 and code 2702 "route_of_unknown_service"
    When GET /v1/routing is asked by the bootstrap administrator
    Then the answer's "services" is []

  Scenario Outline: A body that is not a patch is refused with the place of the fault
    When POST /v1/routing is asked with the text <text>
    Then the administration API refuses with 400 and code 3005 "admin_body_invalid"
    And the answer names the faults <faults>

    Examples:
      | text                                            | faults                                     |
      | {                                               | 3005 /                                     |
      | []                                              | 3005 /                                     |
      | {"routes": 3}                                   | 3005 /routes                               |
      | {"limits": {"version": "r1"}, "services": []}   | 3005 /limits/version, 3005 /limits/max_header_bytes, 3005 /limits/max_body_bytes, 3005 /limits/header_timeout_ms, 3005 /limits/idle_timeout_ms |
      | {"dropped_routes": [{"name": "", "version": 1}]} | 3005 /dropped_routes/0/name               |
      | {"workspaces": [{"name": "w", "version": 1, "keys": [""]}]} | 3005 /workspaces/0/keys/0       |
      | {"workspaces": [{"name": "w", "version": 1, "keys": [7]}]}  | 3005 /workspaces/0/keys/0       |
      | {"workspaces": [{"name": "w", "version": 1, "burst": -1}]}  | 3005 /workspaces/0/burst        |
      | {"workspaces": [{"name": 7, "version": 1}]}                 | 3005 /workspaces/0/name         |
      | {"services": [{"name": "s", "version": 1, "cold_start_ms": 1e400}]}          | 3005 /services/0/cold_start_ms       |
      | {"services": [{"name": "s", "version": 1, "cold_requests_per_s": Infinity}]} | 3005 /services/0/cold_requests_per_s |
      | {"limits": {"version": 1, "max_header_bytes": 1, "max_body_bytes": 1, "header_timeout_ms": "inf", "idle_timeout_ms": 1e309}} | 3005 /limits/header_timeout_ms, 3005 /limits/idle_timeout_ms |
      | {"routes": [{"name": "r", "version": 1, "host": "h", "path_prefix": "/", "kind": "idempotent", "timeout_ms": 1e400, "target_latency_ms": 1e400, "services": [{"service": "s", "weight": 1e400}]}]} | 3005 /routes/0/timeout_ms, 3005 /routes/0/target_latency_ms, 3005 /routes/0/services/0/weight, 3005 /routes/0/services |

  Scenario: A workspace is set with keys, shown with digest prefixes, and dropped
    A key that is shown could be used by whoever may only read.
    When POST /v1/routing is asked with the text {"workspaces": [{"name": "florist", "version": 1, "keys": ["secret-key"], "requests_per_s": 358}]}
    Then the administration API answers 200
    When GET /v1/routing is asked by the bootstrap administrator
    Then the answer's "workspaces.0.name" is florist
    And the answer's "workspaces.0.requests_per_s" is 358.0
    And the answer's "workspaces.0.key_digests" is ['85dbe15d75ef']
    And the answer contains no "secret-key"
    And the stored configuration contains no "secret-key"
    When POST /v1/routing is asked with the text {"workspaces": [{"name": "other", "version": 1, "keys": ["secret-key"]}]}
    Then the administration API refuses with 400 and code 2708 "workspace_key_taken"
    And the answer contains no "secret-key"
    When POST /v1/routing is asked with the routing items "drop workspace florist 2"
    And GET /v1/routing is asked by the bootstrap administrator
    Then the answer's "workspaces" is []

  Scenario: The audit trail shows no key of a workspace that the platform has set
    Its document is stored with the keys, and the trail is shown to whoever may read.
    Given the platform has set a workspace with the key "secret-key"
    When GET /v1/audit?values=true is asked by the bootstrap administrator
    Then the administration API answers 200
    And the answer's "records.0.value.workspace.name" is florist
    And the answer contains no "secret-key"

  Scenario: A zone is evacuated and taken back
    When PUT /v1/evacuations/north-a is asked by the bootstrap administrator
    Then the administration API answers 200
    When GET /v1/evacuations is asked by the bootstrap administrator
    Then the answer's "evacuated_zones" is ['north-a']
    When DELETE /v1/evacuations/north-a is asked by the bootstrap administrator
    And GET /v1/evacuations is asked by the bootstrap administrator
    Then the answer's "evacuated_zones" is []

  Scenario: Without a majority nothing is confirmed
    Given the administration API has no majority
    When PUT /v1/evacuations/north-a is asked by the bootstrap administrator
    Then the administration API refuses with 503 and code 2704 "routing_not_committed"
    And the answer's "ran" is unknown

  Scenario: A target renews itself without a token; it is listed, and leaves
    When POST /v1/targets is asked with the renewal 1 of target "t1"
    Then the administration API answers 200
    And the answer's "renew_after_ms" is 1500
    When GET /v1/targets is asked by the bootstrap administrator
    Then the answer's "targets.0.target" is t1
    And the answer's "targets.0.state" is serving
    When DELETE /v1/targets/t1 is asked without a token
    Then the administration API answers 200
    And target "t1" is retired in the configuration

  Scenario: Who may do what
    When GET /v1/routing is asked without a token
    Then the administration API refuses with 401 and code 3201 "token_missing"
    When PUT /v1/evacuations/north-a is asked with the token "guessed"
    Then the administration API refuses with 401 and code 3202 "token_unknown"
