"""Constants of the steering slice."""

#: Age at which a load report of a target no longer counts, in seconds.
REPORT_MAX_AGE_S = 5.0
#: Weight of one load report in the moving average of load.
REPORT_WEIGHT = 0.3
#: Weight of one sample in the moving average of latency.
LATENCY_WEIGHT = 0.15
#: Time in which what was learned of a target's latency loses half its weight.
LATENCY_HALF_LIFE_S = 5.0
#: Latency that is assumed before anything was measured, in seconds.
DEFAULT_LATENCY_S = 0.02
#: Latency that is assumed for a way between regions, in seconds.
REMOTE_LATENCY_S = 0.03
#: What a target in another availability zone is charged, as a part of its slots.
OTHER_ZONE_COST = 0.1
#: Part by which scores are moved at random.
TIE_RATIO = 0.05
#: Latency over the usual from which a target counts as slow.
SLOW_RATIO = 1.5

#: Failures to answer in a row that make a target suspect.
SUSPECT_AFTER_FAILURES = 2
#: Error answers in a row that make a target suspect.
SUSPECT_AFTER_ERRORS = 5
#: Time between two trials of a suspect target, in seconds.
SUSPECT_TRIAL_S = 0.5
#: Longest time between two trials of an ejected target, in seconds.
EJECTED_TRIAL_S = 8.0
#: Part of a region's targets of one service that may be ejected at a time.
EJECTED_RATIO = 0.5

#: First and longest back-off after a target shed a request, in seconds.
SHED_BACKOFF_S = 0.05
SHED_BACKOFF_MAX_S = 1.0

#: Targets that were known this soon after the start of the process are warm.
WARM_AT_START_S = 2.0
#: A target that was away this long is cold when it returns.
COLD_AFTER_AWAY_S = 1.0
#: Time after which what is known of a target that is gone is dropped, in seconds.
FORGET_AFTER_S = 600.0

#: Mean use of the home region's slots above which headroom is sought elsewhere.
HEADROOM_PRESSED_RATIO = 0.8
#: Lead in free slots that another region must have to help.
HEADROOM_GAP_RATIO = 0.2
#: A way out of the home region must be faster by this factor to be taken for latency.
LATENCY_SHIFT_RATIO = 0.8

#: Bounds of the time to come back, in seconds.
RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 5.0
#: Weight of one choice in the moving average of refusals.
PRESSURE_WEIGHT = 0.02
#: Part by which the time to come back is moved at random, so that callers spread.
RETRY_AFTER_JITTER_RATIO = 0.3

#: Time that a request waits for room in its home region before it may leave it, in
#: seconds; about a round trip between regions.
PATIENCE_S = 0.03
#: Longest that a request waits for room, in seconds.
WAIT_S = 0.25
#: Part of the time to its deadline that a request waits for room at most.
WAIT_DEADLINE_RATIO = 0.25
#: Most requests that wait for room at a time.
WAITING_MAX = 64
