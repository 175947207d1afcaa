"""Constants of the rate_limit slice."""

#: Number of targets whose rate limit is remembered: as many as an instance knows
#: (``registry``).
MAX_LIMITED_TARGETS = 20_000
#: Relative change of a rate limit from which on it is logged and announced. Targets
#: that measure their load name a slightly different limit in each response.
MIN_ANNOUNCED_CHANGE = 0.1
#: Shortest time between two announcements of an entry instance about the same target,
#: in seconds. Token requests carry the newest limit in any case.
MIN_ANNOUNCE_INTERVAL_S = 0.5
#: Time after the first news of a limit in which no tokens are issued, in seconds: the
#: target has just received more than its limit.
INITIAL_PAUSE_S = 0.5
#: Largest number of tokens that a control instance accumulates for a target beyond one,
#: as the time in which they are issued, in seconds.
MAX_BURST_S = 0.25
#: Time after the request for a token up to which it may be used, in seconds. It bounds
#: how many tokens of earlier windows are used in one.
TOKEN_LIFETIME_S = 0.5
#: Longest wait for a control instance to answer a token request, in seconds: a few
#: round trips between regions.
TOKEN_TIMEOUT_S = 0.15
#: The same, as a share of the time left until the deadline of the request.
TOKEN_TIMEOUT_SHARE = 0.25
#: Retry time of a control instance that doesn't know its share of the limits yet, in
#: seconds.
UNKNOWN_SHARE_RETRY_S = 0.5
#: Token requests of one entry instance for one target that may be in progress.
MAX_PENDING_REQUESTS = 8
#: Time between two log lines on the use of a limited target, in seconds.
REPORT_INTERVAL_S = 2.0

#: Requests sent to targets while they named a rate limit, by service.
METRIC_SENDS = "mothshunt_rate_limited_sends_total"
#: Targets that name a rate limit, as far as this instance knows.
METRIC_TARGETS = "mothshunt_rate_limited_targets"
#: Token requests of an entry instance, by result.
METRIC_TOKEN_REQUESTS = "mothshunt_rate_limit_token_requests_total"
#: Time until the answer to a token request.
METRIC_TOKEN_SECONDS = "mothshunt_rate_limit_token_seconds"
#: Token requests that a control instance answered, by decision.
METRIC_TOKENS = "mothshunt_rate_limit_tokens_total"
