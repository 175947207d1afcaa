"""Constants of the dispatch slice."""

#: Largest request body that is buffered, so that a retry can send it again.
MAX_BUFFERED_BODY_BYTES = 64 * 1024
#: Largest body of a request with an idempotency key, which is hashed before dispatch.
MAX_KEYED_BODY_BYTES = 256 * 1024
#: Largest request body that is forwarded.
MAX_BODY_BYTES = 64 * 1024 * 1024
#: Largest response that is buffered before any of it is sent to the caller.
MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024
#: Longest time for which a response of unknown length is buffered before it is
#: streamed, for requests that may be repeated or have an idempotency key.
READ_AHEAD_TIMEOUT_S = 0.05
#: Longest request line, and longest header field of a request or response.
MAX_LINE_BYTES = 8190
#: Largest number of header fields of a request.
MAX_HEADERS = 100

#: Longest time to open a connection to a target.
CONNECT_TIMEOUT_S = 1.0
#: Time after which an idle connection to a target is closed.
IDLE_TIMEOUT_S = 15.0
#: Idle time after which a kept-alive connection may be reused. A duplicate response
#: that arrives in this time is detected.
MIN_REUSE_IDLE_S = 0.02
#: Largest number of targets to which connections are kept alive.
MAX_POOLS = 1000
#: Time after which the connections of a retired pool are closed; longer than the
#: longest request on them.
RETIRED_POOL_CLOSE_DELAY_S = 150.0
#: Bounds of the time-out for the head of a response on a reused connection.
MIN_SILENCE_TIMEOUT_S = 0.25
MAX_SILENCE_TIMEOUT_S = 2.0
#: The time-out is ``SILENCE_TIMEOUT_FACTOR`` times the sum of the mean response time
#: and ``SILENCE_TIMEOUT_DEVIATIONS`` mean deviations.
SILENCE_TIMEOUT_DEVIATIONS = 4.0
SILENCE_TIMEOUT_FACTOR = 3.0
#: Time kept for another attempt, as a fraction of the silence time-out. A silent
#: attempt beside which no second one may run is cancelled this long before its
#: deadline, or ``MIN_SILENCE_TIMEOUT_S`` before it if that is longer. Within its
#: bounds, the silence time-out is three times the sum of the mean and four mean
#: deviations; half of it is 1.5 times that sum, enough time for a usual response to the
#: other attempt.
RETRY_RESERVE_FACTOR = 0.5
#: Interval at which the deadlines of attempts are checked.
WATCH_INTERVAL_S = 0.01
#: Upper limit for the Retry-After value of a target, in seconds; a higher value is
#: lowered to it.
MAX_RETRY_AFTER_S = 3600.0
#: Time after which an idle connection of a caller is closed.
CALLER_KEEPALIVE_S = 75.0
#: Largest number of connections that wait to be accepted.
BACKLOG = 1024
#: A drain ends once no request has been in flight for this time.
DRAIN_IDLE_S = 0.2
#: Interval at which a drain checks for requests in flight.
DRAIN_POLL_S = 0.02
#: Shortest time between two log lines about exceptions in handlers.
EXCEPTION_LOG_INTERVAL_S = 1.0
#: Longest wait for requests in flight when the server stops without a drain.
STOP_TIMEOUT_S = 10.0
#: Largest number of attempts at one request, the first included.
MAX_ATTEMPTS = 3
#: Retry-After value of an error response for which no better value is known.
DEFAULT_RETRY_AFTER_S = 1.0
#: Capacity of a retry budget's token bucket, in seconds of its minimum rate.
BUDGET_BURST_S = 10.0

METRIC_REFUSALS = "mothshunt_refusals_total"
METRIC_RETRIES = "mothshunt_retries_total"
METRIC_GIVEN_UP = "mothshunt_retries_given_up_total"
METRIC_REPLAYS = "mothshunt_answers_replayed_total"
METRIC_LATENCY = "mothshunt_request_seconds"
METRIC_CANCELLED = "mothshunt_requests_cancelled_total"
METRIC_BROKEN_OFF = "mothshunt_answers_broken_off_total"
METRIC_IN_FLIGHT = "mothshunt_requests_in_flight"

#: Header fields that apply to a single connection only (RFC 9110, 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
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

#: Header fields that the ledger stores with a response, to send them on a repetition.
REPLAYED_HEADERS = frozenset(
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
