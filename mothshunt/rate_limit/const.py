"""Constants of the rate_limit slice."""

#: Number of targets whose rate limit is remembered: as many as an instance knows
#: (``registry``).
MAX_LIMITED_TARGETS = 20_000
#: Relative change of a rate limit from which on it is logged. Targets that measure
#: their load name a slightly different limit in each response.
MIN_LOGGED_CHANGE = 0.1

#: Requests sent to targets while they named a rate limit, by service.
METRIC_SENDS = "mothshunt_rate_limited_sends_total"
#: Targets that name a rate limit, as far as this instance knows.
METRIC_TARGETS = "mothshunt_rate_limited_targets"
#: Time between two log lines on the use of a limited target, in seconds.
REPORT_INTERVAL_S = 2.0
