"""Constants of the dispatch slice."""

#: Request bodies up to this size are kept whole, so that a retry can send them.
REPEATABLE_BODY_BYTES = 64 * 1024
#: Largest body of a request with an idempotency key, which is hashed before dispatch.
KEYED_BODY_BYTES = 256 * 1024
#: Largest request body that is passed on.
MAX_BODY_BYTES = 64 * 1024 * 1024
#: Answers up to this size are read whole before anything is passed on.
WHOLE_ANSWER_BYTES = 64 * 1024
#: An answer of unknown length to an idempotent request is read ahead for this time.
READ_AHEAD_S = 0.05
#: Longest request line and longest header field.
MAX_LINE_BYTES = 8190
MAX_HEADERS = 100

#: Longest time to open a connection to a target.
CONNECT_TIMEOUT_S = 1.0
#: Idle connections to targets are closed after this time.
IDLE_CONNECTION_S = 15.0
#: A kept-alive connection is used again only after it was idle for this time.
REST_S = 0.02
#: Targets to which connections are kept alive.
MAX_POOLS = 1000
#: Connections to a target that are not used again are closed after this time, when
#: the longest request on them has ended.
RETIRED_POOL_S = 150.0
#: Bounds of the time for which a kept-alive connection may stay silent.
MIN_SILENCE_S = 0.25
MAX_SILENCE_S = 2.0
SILENCE_DEVIATIONS = 4.0
SILENCE_FACTOR = 3.0
#: A silent attempt beside which there is no room for another is given up when this part
#: of its limit of silence is left to the deadline, and at least ``MIN_SILENCE_S``. That
#: is 1.5 times the mean and four deviations, in which a usual answer still fits.
SILENT_RESERVE = 0.5
#: Steps in which attempts are looked at whose time may be over.
WATCH_INTERVAL_S = 0.01
#: Longest time to come back that a target may name.
MAX_RETRY_AFTER_S = 3600.0
#: Idle connections of callers are closed after this time.
CALLER_KEEPALIVE_S = 75.0
#: Connections that may wait to be accepted.
BACKLOG = 1024
#: A drain has ended when nothing was in flight for this time.
DRAIN_QUIET_S = 0.2
DRAIN_POLL_S = 0.02
#: At most one fault of a handler is logged in this time.
FAULT_LOG_INTERVAL_S = 1.0
#: Longest wait for requests in flight when the server stops without a drain.
STOP_TIMEOUT_S = 10.0
#: Attempts at one request, the first included.
MAX_ATTEMPTS = 3
#: Time to come back that a refusal names when nothing better is known.
RETRY_AFTER_S = 1.0
#: Longest list of tokens that a retry budget saves up, in seconds of its minimum.
BUDGET_BURST_S = 10.0

METRIC_REFUSALS = "mothshunt_refusals_total"
METRIC_RETRIES = "mothshunt_retries_total"
METRIC_GIVEN_UP = "mothshunt_retries_given_up_total"
METRIC_REPLAYS = "mothshunt_answers_replayed_total"
METRIC_LATENCY = "mothshunt_request_seconds"
METRIC_CANCELLED = "mothshunt_requests_cancelled_total"
METRIC_BROKEN = "mothshunt_answers_broken_off_total"
METRIC_IN_FLIGHT = "mothshunt_requests_in_flight"

#: Header fields that concern one connection only (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

#: Header fields of a first answer that the ledger keeps.
KEPT_HEADERS = frozenset(
    {
        "cache-control",
        "content-encoding",
        "content-language",
        "content-type",
        "etag",
        "last-modified",
        "location",
    }
)
