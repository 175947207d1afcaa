"""Constants of the membership."""

REPORT_INTERVAL_S = 1.0
#: Time after which a report is sent although nothing changed.
FULL_REPORT_INTERVAL_S = 5.0
UPLINK_CHECK_INTERVAL_S = 0.25
#: A control instance that no majority confirmed for this time is left for another.
MAX_CONFIRMED_AGE_S = 4.0
#: Time for which a lost instance may still attach elsewhere before it counts as lost.
ATTACH_GRACE_S = 1.0
HUB_LOST_AFTER_S = 3.0
JOIN_TIMEOUT_S = 3.0
ASK_POLL_S = 0.02
STATUS_TIMEOUT_S = 1.0
