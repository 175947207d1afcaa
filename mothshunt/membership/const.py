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
#: Time between two reports of an entry instance that nothing asked for, in seconds;
#: they repair what a full queue did not take.
ENTRY_REPORT_INTERVAL_S = 5.0
#: Time between two messages on what an entry instance has to do, in seconds.
ENTRY_LOAD_INTERVAL_S = 1.0
#: Control instances that tell an instance of each change at once; it hears of a change
#: from one when the other is lost.
PRIMARIES = 2
#: Changes of the roster are gathered for this time before they are told, in seconds.
ROSTER_FLUSH_INTERVAL_S = 0.2
#: Time between two pulses to the entry instances that this is a primary of, in seconds.
ROSTER_INTERVAL_S = 1.0
#: Time between two pulses to all others, in seconds; well below ENTRY_COUNTS_FOR_S.
FULL_ROSTER_INTERVAL_S = 4.0
#: What a control instance told of the entry instances holds for this time, in seconds,
#: unless it is told again: a little above FULL_ROSTER_INTERVAL_S.
ROSTER_HOLDS_FOR_S = 5.0
#: Entry instances that take requests are worked out anew after this time, in seconds,
#: though nothing was told: callers look them up hundreds of times a second.
READY_KEPT_S = 0.1
#: A roster that differs from what its control instance holds is asked for after this
#: time, in seconds: changes that are on their way arrive sooner.
DIFFERS_FOR_S = 0.9
#: Decimal digits of a rate of requests that is told.
DEMAND_DIGITS = 2
#: An entry instance whose stream closed is named to callers for this time, in seconds,
#: as the stream alone may have been lost.
ENTRY_GONE_AFTER_S = 0.6
#: Limits that are divided among entry instances count one that is named no more for
#: this time, in seconds: the longest window of those limits.
ENTRY_COUNTS_FOR_S = 10.0
#: An entry instance that no control instance has named for this time, in seconds, takes
#: it that the others don't count it; a little above two pulses.
NAMED_WITHIN_S = 2.5
#: Time in which the others hear of a new entry instance, in seconds: what is gathered
#: for ROSTER_FLUSH_INTERVAL_S, its way between regions, and room for a late message.
TOLD_WITHIN_S = 1.0
#: An entry instance keeps its part of a limit over a window for this time after it was
#: last named, in seconds: cut off, it goes on using it. As long as CONTROL_KEPT_S.
PART_KEPT_S = 60.0
#: A control instance that nobody names any more is still dialled for this time, in
#: seconds; the longest cut that was planned for is well below it.
CONTROL_KEPT_S = 60.0
