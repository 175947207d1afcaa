"""Constants of forwarding."""

#: Time after the route's timeout for which a late response is still delivered, in
#: seconds; operators allow half a second.
TIMEOUT_GRACE_S = 0.15
#: Minimum wait for the caller that is not counted against the target of a response
#: without a length, in seconds: longer than a round trip between distant regions.
CALLER_STALL_S = 0.1
#: Bytes of responses that wait to be sent to callers, in all. What was read from their
#: targets meanwhile takes twice of it.
MAX_UNREAD_BYTES = 16 * 1024 * 1024
#: Interval at which callers that read nothing are looked for, in seconds.
UNREAD_CHECK_INTERVAL_S = 0.5
#: Time after which a caller that takes no bytes may be disconnected, in seconds.
UNREAD_STALL_S = 3.0
#: Timeout for opening a connection to a target, in seconds: a few round trips between
#: distant regions; later attempts try the target again.
CONNECT_TIMEOUT_S = 0.4
#: Minimum time left for which an attempt is made, in seconds: a round trip within a
#: region.
MIN_ATTEMPT_S = 0.01
#: Failures to open a connection after which a request is refused.
MAX_CONNECT_FAILURES = 3
#: Fraction of a target's idle timeout for which an idle connection is reused; later the
#: target may close the connection while a request is in transit.
IDLE_REUSE_FRACTION = 0.7
#: Time for which an idle connection is reused if the target states no idle timeout, in
#: seconds.
DEFAULT_IDLE_S = 3.0
#: Interval at which expired idle connections are closed, in seconds.
IDLE_SWEEP_INTERVAL_S = 1.0
#: Maximum number of connections opened ahead of requests at a time; more would delay
#: the connections that requests wait for.
MAX_CONCURRENT_PRECONNECTS = 16
#: Maximum number of responses to earlier requests that are skipped on one connection.
MAX_STALE_RESPONSES = 2
#: Requests that a target may refuse on a connection until it is closed.
MAX_REFUSALS_PER_CONNECTION = 64
#: Maximum number of informational responses (1xx) before a final response; targets have
#: no reason to send more than a few.
MAX_INFORMATIONAL_RESPONSES = 8
#: Maximum size of a response body that is read and discarded so that its connection can
#: be reused; refusals are short.
MAX_DISCARDED_BYTES = 64 * 1024
#: Timeout for reading a body to be discarded, in seconds: it arrives with the head or a
#: round trip later.
DISCARD_TIMEOUT_S = 0.25
#: Maximum number of digits before, and after, the point of the pause in a target's
#: ``Retry-After``.
MAX_RETRY_AFTER_DIGITS = 9
#: Digits before and after the point in a target's rate limit.
MAX_RATE_DIGITS = 9
#: Fraction of the retry budget that is used; the rest covers requests in transit when a
#: window ends, and entry instances that have not discovered each other yet.
BUDGET_USED_FRACTION = 0.9
#: Number of steps into which a window of the retry budget is divided for counting. A
#: window may begin in the middle of a step; the requests of that step are left out, as
#: some of them may have come before the window.
BUDGET_STEPS_PER_WINDOW = 20
#: Fraction of the retry budget of a window that is computed from the requests of this
#: window; the rest is computed from the requests of the window before. That rest, a
#: quarter of the budget at a steady request rate, is available from the start of the
#: window, so that retries are possible as soon as targets begin to fail.
BUDGET_CURRENT_WINDOW_FRACTION = 0.75
#: Maximum number of pipelined requests that begin before their turn, on one connection
#: and in all. The response of each may take MAX_BUFFERED_RESPONSE_BYTES of memory, so
#: all together take at most 8 MB.
MAX_EARLY_PER_CONNECTION = 8
MAX_EARLY_REQUESTS = 128
#: Maximum number of requests held until this instance serves; each takes a few
#: kilobytes of memory.
MAX_HELD_REQUESTS = 1000
#: Fraction of the time to a request's deadline for which it is held at most: the caller
#: has time left for a retry.
MAX_HOLD_FRACTION = 1 / 3
#: Time after its start within which an instance is expected to serve, in seconds. The
#: election of a leader and the first renewals of all targets take about one second;
#: slow links may delay them.
EXPECTED_STARTUP_S = 2.0
#: Multiple of the expected response time after which a hedged attempt is made.
HEDGE_FACTOR = 2.0
#: Minimum time before a hedged attempt, in seconds: a few round trips between regions.
HEDGE_MIN_S = 0.2
#: ``Retry-After`` of a refusal while this instance does not serve, in seconds.
NOT_READY_RETRY_S = 0.3
#: ``Retry-After`` for an unknown key while the configuration may be out of date, in
#: seconds: about half the interval at which control instances confirm it.
UNCONFIRMED_RETRY_S = 0.5
#: ``Retry-After`` if workspace and route have no home region in common, in seconds: a
#: corrected configuration is in force within this time of its confirmation.
NO_COMMON_REGION_RETRY_S = 2.5
#: ``Retry-After`` after a request that no target ran, in seconds.
DEFAULT_RETRY_S = 0.2
#: ``Retry-After`` after a target rejected a request although it reports free capacity,
#: in seconds: a round trip within a region, so that the caller is answered soon.
SHED_RETRY_S = 0.02
#: Maximum number of attempts per request at a target that rejects it although it
#: reports free capacity.
MAX_ATTEMPTS_PER_TARGET = 2
#: Idle timeout of callers' connections if no request limits are configured, in seconds.
DEFAULT_CALLER_IDLE_S = 15.0
#: Maximum length of a header field if no request limits are configured, in bytes.
DEFAULT_MAX_FIELD_BYTES = 16 * 1024
#: Fraction of the leave time for which a leaving instance accepts new connections:
#: callers that looked it up earlier still connect to it.
LISTEN_FRACTION = 0.55
#: Fraction of the leave time after which requests in flight are cut off.
FINISH_FRACTION = 0.93
#: Maximum number of log lines per second about failures; further ones are only counted.
#: A line costs about 30 microseconds, so this is about 0.1% of a core.
MAX_FAILURE_LINES_PER_S = 40
#: The same for requests that were answered later than the route's target latency.
MAX_LATE_LINES_PER_S = 10
#: The same for requests that were answered in time.
MAX_TIMELY_LINES_PER_S = 5
#: The same for requests that were rejected for their key.
MAX_AUTHENTICATION_LINES_PER_S = 8
#: The same for requests that no route matches.
MAX_UNKNOWN_ROUTE_LINES_PER_S = 8
#: Maximum number of workspaces that are counted one by one; a deployment has up to
#: 1,000, and dropped ones remain in the counts for a while.
MAX_COUNTED_WORKSPACES = 4096
#: Number of workspaces that metrics name, the largest ones.
MAX_EXPOSED_WORKSPACES = 20

METRIC_REQUESTS = "mothshunt_forwarding_requests_total"
METRIC_WORKSPACE_ADMITTED = "mothshunt_workspace_admitted_total"
METRIC_WORKSPACE_REJECTED = "mothshunt_workspace_rejected_total"
METRIC_ATTEMPTS = "mothshunt_forwarding_attempts_total"
METRIC_RETRIES = "mothshunt_forwarding_retries_total"
METRIC_HEDGES = "mothshunt_forwarding_hedges_total"
METRIC_LATENCY = "mothshunt_forwarding_seconds"
METRIC_CONNECTIONS = "mothshunt_forwarding_connections_total"
METRIC_CONNECTIONS_AHEAD = "mothshunt_forwarding_connections_ahead_total"
METRIC_BODIES_DISCARDED = "mothshunt_forwarding_bodies_discarded_total"
METRIC_UNREAD_BYTES = "mothshunt_forwarding_unread_bytes"
METRIC_UNREAD_DISCONNECTS = "mothshunt_forwarding_unread_disconnects_total"
METRIC_LINES_DROPPED = "mothshunt_log_lines_dropped_total"
METRIC_IN_FLIGHT = "mothshunt_forwarding_in_flight"
#: Targets with a rate limit that tokens are requested for, for one attempt.
MAX_TOKEN_REQUESTS = 4
