"""Constants of the selection of a target."""

#: Age from which a target's load report is ignored, in seconds.
REPORT_MAX_AGE_S = 5.0
#: Weight of a new load report in the moving average of the requests in flight.
REPORT_WEIGHT = 0.3
#: Weight of a new sample in the moving average of the latency.
LATENCY_WEIGHT = 0.15
#: Half-life of the weight of a target's own latency against the region's mean while
#: there is no new sample, in seconds.
LATENCY_HALF_LIFE_S = 5.0
#: Latency assumed before the first sample, in seconds.
DEFAULT_LATENCY_S = 0.02
#: Latency assumed for the network path to another region, in seconds.
INTER_REGION_LATENCY_S = 0.03
#: Added to the score of a target in another availability zone, as a share of its limit.
OTHER_ZONE_PENALTY = 0.1
#: Upper bound of the random value that is added to each score, as a share of the score.
SCORE_JITTER_RATIO = 0.05
#: Multiple of the region's mean latency from which a target counts as slow.
SLOW_RATIO = 1.5

#: Consecutive attempts without a response that make a target suspect.
SUSPECT_AFTER_FAILURES = 2
#: Consecutive error responses that make a target suspect.
SUSPECT_AFTER_ERRORS = 5
#: Time between two probe requests to a suspect target that is not ejected, in seconds.
PROBE_INTERVAL_S = 0.5
#: Longest time between two probe requests to an ejected target, in seconds.
MAX_EJECTED_PROBE_INTERVAL_S = 8.0
#: Largest share of a region's targets of one service that may be ejected at a time.
MAX_EJECTED_RATIO = 0.5

#: First and longest back-off after a target shed a request, in seconds.
SHED_BACKOFF_S = 0.05
MAX_SHED_BACKOFF_S = 1.0

#: A target first seen within this time of the start of the process counts as warm, in
#: seconds.
WARM_AT_START_S = 2.0
#: A target that accepted no requests for longer than this is cold again, in seconds.
COLD_AFTER_ABSENCE_S = 1.0
#: Time for which the state of an absent target is kept, in seconds.
STATE_RETENTION_S = 600.0

#: Utilization of the home region from which a contract that prefers headroom may use
#: another region.
HEADROOM_HIGH_UTILIZATION = 0.8
#: How far the utilization of the other region must be below that of the home region.
HEADROOM_MIN_LEAD = 0.2
#: A contract that prefers latency uses another region only where the expected latency
#: there is below this multiple of that of the home region.
LATENCY_SHIFT_RATIO = 0.8

#: Bounds of the retry-after time of a refusal, in seconds.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 5.0
#: Weight of one selection in the moving average of refusals.
REFUSAL_WEIGHT = 0.02
#: Largest random deviation of the retry-after time, as a share of it, so that callers
#: don't retry together.
RETRY_AFTER_JITTER_RATIO = 0.3

#: Time that a request waits for capacity in its home region before another region may
#: take it, in seconds; about a round trip between regions.
HOME_REGION_WAIT_S = 0.03
#: Longest time that a request waits for capacity, in seconds.
MAX_WAIT_S = 0.25
#: Largest share of the time to its deadline that a request waits for capacity.
MAX_WAIT_DEADLINE_RATIO = 0.25
#: Most requests that wait for capacity at a time.
MAX_WAITING_REQUESTS = 64
