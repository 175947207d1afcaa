"""Constants of the configuration."""

#: Number of changes whose outcome is kept, to answer a repeated change id.
MAX_REMEMBERED_CHANGES = 10_000
#: Number of accepted changes in the audit trail.
MAX_AUDIT_RECORDS = 2_000
#: Mean time between two beats.
BEAT_INTERVAL_S = 1.0
#: Time-out of one confirmation by a majority.
CONFIRM_TIMEOUT_S = 2.0
#: Age of the newest confirmation up to which the configuration of an instance counts as
#: current, in seconds. A change must be in force everywhere within 2.5 s of its
#: confirmation. With one control instance in reach, beats and the round trip of their
#: confirmation take up to about 1.4 s.
MAX_CONFIRMATION_AGE_S = 2.0
#: Time between the first two requests of a follower for a delta; it doubles with each
#: further request until one arrives.
MIN_DELTA_REQUEST_INTERVAL_S = 0.5
MAX_DELTA_REQUEST_INTERVAL_S = 4.0
#: Pause between two attempts to get the confirmed revision at start.
CONFIRM_RETRY_PAUSE_S = 0.1
#: Number of control instances that a deployment may have.
MAX_CONTROL_INSTANCES = 7
