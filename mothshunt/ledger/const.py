"""Constants of the ledger slice."""

#: Keys that are kept for one customer and for all; a claim beyond is refused.
MAX_KEYS_PER_CUSTOMER = 50_000
MAX_KEYS = 120_000
#: Bytes of answers that are kept for one customer and for all; an answer beyond is
#: not kept.
MAX_ANSWER_BYTES_PER_CUSTOMER = 16 * 1024 * 1024
MAX_ANSWER_BYTES = 48 * 1024 * 1024
#: From this part of a bound on, keys are kept for the least time only.
CROWDED_SHARE = 0.8
#: Largest body of one answer that is kept.
MAX_BODY_BYTES = 64 * 1024
#: Largest sum of header names and values of one answer that is kept.
MAX_HEADER_BYTES = 8 * 1024

#: A key is kept this long after its claim, while there is room.
RETENTION_S = 86_400.0
#: A key is kept at least this long after its claim.
MIN_RETENTION_S = 300.0
#: Added to a request's time before its outcome counts as unknown.
LAPSE_GRACE_S = 5.0
#: Steps in which the leader looks for claims that lapsed and keys that expired.
SWEEP_INTERVAL_S = 1.0
#: Steps in which the leader notes which log index belongs to which time.
EXPIRY_STEP_S = 15.0
#: Most claims that one command lets lapse.
MAX_LAPSES_PER_COMMAND = 500

#: Longest wait for one answer of control.
ASK_TIMEOUT_S = 2.0
#: Pause between two tries to reach control.
ASK_PAUSE_S = 0.1
#: An outcome or a release is offered to control for this long.
SETTLE_TIMEOUT_S = 30.0
#: Longest wait for outcomes and releases when an entry instance stops.
STOP_TIMEOUT_S = 5.0
#: Time to come back that is named when control can't be reached.
RETRY_AFTER_S = 1.0
#: Outcomes and releases that may wait for control at a time.
MAX_UNSETTLED = 1000

METRIC_CLAIMS = "mothshunt_ledger_claims_total"
METRIC_SETTLES = "mothshunt_ledger_settles_total"
METRIC_CLAIM_LATENCY = "mothshunt_ledger_claim_seconds"
METRIC_KEYS = "mothshunt_ledger_keys"
