"""Constants of the forwarding slice."""

#: An answer that is ready shortly after the route's timeout is still delivered, for
#: this time, in seconds; operators allow half a second.
TIMEOUT_GRACE_S = 0.15
#: Longest time to open a connection to a target, in seconds: some round trips between
#: distant regions; a target that does not answer by then is tried again later.
CONNECT_TIMEOUT_S = 0.4
#: Shortest time that is worth an attempt, in seconds: a round trip within a region.
MIN_ATTEMPT_S = 0.01
#: Connections to targets that may fail for one request before it is refused.
MAX_CONNECT_FAILURES = 3
#: Part of a target's idle timeout for which a connection is used again; beyond it the
#: target may close it while a request is on its way.
IDLE_PART = 0.7
#: Idle time of a connection whose target names none, in seconds.
DEFAULT_IDLE_S = 3.0
#: Time between two looks for idle connections that have lasted long, in seconds.
SWEEP_INTERVAL_S = 1.0
#: Connections that are opened ahead of requests at a time; more would delay those that
#: requests wait for.
MAX_OPENING_AHEAD = 16
#: Answers to earlier requests that are passed over on one connection.
MAX_STALE_ANSWERS = 2
#: Informational answers (1xx) before an answer; a target has no reason for more than a
#: few.
MAX_INFORMATIONAL_ANSWERS = 8
#: Bytes that are read of an answer that is not passed on, so that its connection can be
#: used again; refusals are short.
MAX_DISCARDED_BYTES = 64 * 1024
#: Time for which such bytes are waited for, in seconds: they come with the head or a
#: round trip later.
DISCARD_TIMEOUT_S = 0.25
#: Longest pause that a target's answer can name, as digits before the point.
MAX_PAUSE_DIGITS = 9
#: Part of the retry budget that is used; the rest covers requests that are on their
#: way when a window ends, and entry instances that don't know of each other yet.
BUDGET_SAFETY = 0.9
#: Steps of time in a window of the retry budget; a window may begin at any moment, so
#: what it allows is rounded down by one.
BUDGET_STEPS = 20
#: Part of the retry budget that follows the requests of the same window; the rest
#: follows those of the window before. So a fourth of what a calm window earned is left
#: at once when targets begin to fail.
BUDGET_PRESENT_PART = 0.75
#: Requests that are held until this instance serves; each takes some kilobytes.
MAX_HELD_REQUESTS = 1000
#: Part of the time to the end of a request for which it is held: after it the caller
#: can still come back.
HELD_PART = 1 / 3
#: Time after its start by which an instance is expected to serve, in seconds: a leader
#: is elected and the targets have renewed themselves within about one, and links may be
#: slow.
OPENING_EXPECTED_S = 2.0
#: A target is overdue when it takes this many times longer than expected, ...
HEDGE_FACTOR = 2.0
#: ... and this long at least, in seconds: some round trips between regions.
HEDGE_MIN_S = 0.2
#: Time to come back while this instance is not ready, in seconds.
NOT_READY_RETRY_S = 0.3
#: Time to come back after a request that no target ran, in seconds.
DEFAULT_RETRY_S = 0.2
#: Time to come back after a target turned a request away although it has room, in
#: seconds: a round trip within a region, so that the caller still gets its answer soon.
SHED_RETRY_S = 0.02
#: Requests that may be sent to one target that turns them away although it has room.
MAX_SENDS_TO_TARGET = 2
#: Idle connections of callers are closed after this time where no limit is in force,
#: in seconds.
DEFAULT_CALLER_IDLE_S = 15.0
#: Longest header field of a caller where no limit is in force.
DEFAULT_FIELD_BYTES = 16 * 1024
#: The listener stays open for this part of the time that an instance has to leave;
#: callers that asked before go on to connect meanwhile.
LISTEN_PART = 0.55
#: What is in flight has up to this part of that time.
FINISH_PART = 0.93
#: Lines in one second about requests that failed, at most; more are counted only. A
#: line takes some 30 microseconds, so this is about 0.1% of a core.
MAX_FAILURE_LINES_PER_S = 40
#: The same about requests that were answered later than the route's target latency.
MAX_LATE_LINES_PER_S = 10
#: The same about requests that were answered in time.
MAX_TIMELY_LINES_PER_S = 5

METRIC_REQUESTS = "mothshunt_forwarding_requests_total"
METRIC_ATTEMPTS = "mothshunt_forwarding_attempts_total"
METRIC_RETRIES = "mothshunt_forwarding_retries_total"
METRIC_HEDGES = "mothshunt_forwarding_hedges_total"
METRIC_LATENCY = "mothshunt_forwarding_seconds"
METRIC_CONNECTIONS = "mothshunt_forwarding_connections_total"
METRIC_CONNECTIONS_AHEAD = "mothshunt_forwarding_connections_ahead_total"
METRIC_BODIES_DISCARDED = "mothshunt_forwarding_bodies_discarded_total"
METRIC_LINES_DROPPED = "mothshunt_log_lines_dropped_total"
METRIC_IN_FLIGHT = "mothshunt_forwarding_in_flight"
