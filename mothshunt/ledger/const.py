"""Constants of the ledger slice."""

#: Limits of stored keys, for one customer and for all; further claims are refused.
MAX_KEYS_PER_CUSTOMER = 50_000
MAX_KEYS = 120_000
#: Limits of stored responses in bytes, for one customer and for all; of further
#: responses only the status is stored.
MAX_RESPONSE_BYTES_PER_CUSTOMER = 16 * 1024 * 1024
MAX_RESPONSE_BYTES = 48 * 1024 * 1024
#: Share of a limit from which on keys are stored for ``MIN_RETENTION_S`` only.
NEAR_LIMIT_SHARE = 0.8
#: Largest body of a stored response.
MAX_BODY_BYTES = 64 * 1024
#: Largest total length of the header names and values of a stored response.
MAX_HEADER_BYTES = 8 * 1024

#: Time for which a key is stored after its claim, unless a limit is near.
RETENTION_S = 86_400.0
#: Shortest time for which a key is stored after its claim.
MIN_RETENTION_S = 300.0
#: Time past the end of a request before its outcome counts as unknown.
LAPSE_GRACE_S = 5.0
#: Interval between two checks for lapsed claims and expired keys.
SWEEP_INTERVAL_S = 1.0
#: Interval at which a control instance notes the log index that it has applied.
INDEX_SAMPLE_INTERVAL_S = 15.0
#: Most claims in one ``Lapse`` command.
MAX_LAPSES_PER_COMMAND = 500

#: Timeout of one command to the control instances or to the replicated log.
COMMAND_TIMEOUT_S = 2.0
#: Pause between two attempts to send a command to the control instances.
RETRY_INTERVAL_S = 0.1
#: Time for which an entry instance keeps sending a record or release command.
SETTLE_TIMEOUT_S = 30.0
#: Longest wait for record and release commands when an entry instance stops.
STOP_TIMEOUT_S = 5.0
#: Retry-After time if the control instances can't be reached, the ledger is full or
#: the claim was withdrawn; its upper limit while a request is in progress.
RETRY_AFTER_S = 1.0
#: Most record and release commands that may be in progress; more are dropped.
MAX_PENDING_SETTLES = 1000

METRIC_CLAIMS = "mothshunt_ledger_claims_total"
METRIC_SETTLES = "mothshunt_ledger_settles_total"
METRIC_CLAIM_LATENCY = "mothshunt_ledger_claim_seconds"
METRIC_KEYS = "mothshunt_ledger_keys"
