"""Constants of the discovery of targets."""

RENEW_INTERVAL_MS = 1000
LEASE_S = 5.0
#: Time for which it is remembered that a target left, so that late news of it
#: does not bring it back.
LEFT_REMEMBERED_S = 600.0
FLUSH_INTERVAL_S = 0.2
LOAD_INTERVAL_S = 1.0
FULL_ROWS_INTERVAL_S = 5.0
MAX_ANNOUNCEMENT_BYTES = 16 * 1024
SWEEP_INTERVAL_S = 1.0
FULL_RELAY_INTERVAL_S = 30.0
LOAD_FLUSH_S = 0.5
#: Load reports that a control instance passes on in one flush.
LOADS_PER_FLUSH = 60
