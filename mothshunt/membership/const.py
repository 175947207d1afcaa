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
#: Longest wait for one control instance before another is asked, in seconds.
ASK_ATTEMPT_S = 1.0
#: Time between two reports of an entry instance to the control instances, in seconds.
ENTRY_REPORT_INTERVAL_S = 1.0
#: Time between two rosters to the entry instances, in seconds.
ROSTER_INTERVAL_S = 1.0
#: Time between two rosters to entry instances of other regions, in seconds.
FULL_ROSTER_INTERVAL_S = 4.0
#: An entry instance whose stream closed is named to callers for this time, in seconds,
#: as the stream alone may have been lost.
ENTRY_GONE_AFTER_S = 0.6
#: Limits that are divided among entry instances count one that is named no more for
#: this time, in seconds: the longest window of those limits.
ENTRY_COUNTS_FOR_S = 10.0
#: A control instance that nobody names any more is still dialled for this time, in
#: seconds; the longest cut that was planned for is well below it.
CONTROL_KEPT_S = 60.0
