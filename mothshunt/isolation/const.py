"""Constants of isolation."""

#: Shortest time without a response of any target after which an instance may consider
#: itself isolated, in seconds. At 5 requests a second, shorter gaps are usual.
MIN_QUIET_S = 0.4
#: Fraction of the expected response time within which hardly any response comes.
EARLY_FRACTION = 0.5
#: Evidence of an attempt without a response for each further multiple of its expected
#: response time, in nats: minus the logarithm of the probability that a target which is
#: reached takes as long. It corresponds to a log-normal distribution with a standard
#: deviation of 0.5, wider than is measured: 1 in 4 takes over 1.5 times as long.
NATS_PER_EXPECTED_TIME = 1.4
#: Maximum evidence of one attempt without a response, in nats.
MAX_NATS_PER_SILENCE = 3.5
#: Shortest expected response time, in seconds: some round trips between regions.
MIN_EXPECTED_S = 0.2
#: Evidence of an attempt whose connection failed or broke, in nats: 1 in 20.
NATS_PER_FAILURE = 3.0
#: Maximum evidence that one target adds, in nats, so that few targets can't decide.
MAX_NATS_PER_TARGET = 5.0
#: Evidence from which an instance is isolated, in nats. In three simulated calm hours
#: of each load no gap between responses gave over 8. With 11, the extrapolation gives 6
#: false alarms in 1,000 hours, and a partition is found up to 0.2 s sooner.
ISOLATED_NATS = 13.0
#: The same for each target of a region that has only a few.
ISOLATED_NATS_PER_KNOWN_TARGET = 4.5
#: Fraction of that evidence that must come from outside any single service, and any
#: single availability zone: one of them alone may be at fault.
DIVERSE_FRACTION = 0.4
#: Number of targets below which nothing can be told.
MIN_KNOWN_TARGETS = 2
#: Time for which a failed attempt counts, in seconds; a slow stream of requests still
#: makes some attempts within it.
EVIDENCE_LIFETIME_S = 5.0
#: Time for which a service counts as requested after an attempt, in seconds.
SERVICE_USE_S = 10.0
#: Interval at which the state is computed, in seconds.
TICK_INTERVAL_S = 0.1
#: Gap between two computations from which the process was suspended, in seconds. What
#: was pending across it proves nothing: timers fire late, and responses wait unread.
MAX_TICK_GAP_S = 0.5
#: Mean time between two trial requests of an isolated instance, in seconds.
TRIAL_INTERVAL_S = 0.5
#: Fraction by which the time to the next trial varies at random, so that the instances
#: of a zone don't try together.
TRIAL_JITTER = 0.5
#: Time after which a trial request is relayed as well, in seconds: the response time of
#: a target that knows the object.
TRIAL_WAIT_S = 0.1
#: Time without an answered trial after which a connection that can be opened ends the
#: isolation, in seconds: an instance without idempotent requests has no other trial.
#: It doubles with each isolation that begins soon after.
CONNECT_PROOF_S = 3.0
#: Maximum of that time, in seconds.
MAX_CONNECT_PROOF_S = 24.0
#: Time over which requests return to targets after a partition, in seconds.
RECOVERY_S = 2.0
#: Fraction of requests that go to targets at the start of the recovery.
RECOVERY_FIRST_SHARE = 0.1
#: Maximum number of entry instances that one request is relayed to.
MAX_RELAYS = 3
#: Time for which an entry instance that refused or failed a relay isn't used, in
#: seconds.
AVOID_S = 1.0
#: Minimum time left for which a request is relayed, in seconds: some round trips.
MIN_RELAY_S = 0.02
#: ``Retry-After`` of a refusal, in seconds; it varies at random up to twice the value.
RETRY_S = 0.3
#: Longest time between the begin of an isolation and the withdrawal from look-ups, in
#: seconds; the instances of a region thus see who withdrew before them.
MAX_WITHDRAWAL_DELAY_S = 0.6
#: Reason for the choice of the receiver of a relay, in log lines.
REASON_RELAY = "relay"

METRIC_ISOLATED = "mothshunt_isolation_isolated"
METRIC_BEGUN = "mothshunt_isolation_begun_total"
METRIC_RELAYS = "mothshunt_isolation_relays_total"
METRIC_TRIALS = "mothshunt_isolation_trials_total"
