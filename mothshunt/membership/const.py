"""Constants of the membership."""

REPORT_INTERVAL_S = 1.0
#: Time after which a report is sent although nothing changed.
FULL_REPORT_INTERVAL_S = 5.0
UPLINK_CHECK_INTERVAL_S = 0.25
#: An instance leaves its control instance for another one if no majority of control
#: instances has confirmed that one for this time.
MAX_CONFIRMED_AGE_S = 4.0
#: Time that an instance has to attach to another control instance after its stream
#: closed; after it, the instance counts as lost.
REATTACH_GRACE_S = 1.0
#: Time without a stream to a control instance after which the instances attached to it
#: count as lost.
HUB_DISCONNECT_GRACE_S = 3.0
JOIN_TIMEOUT_S = 3.0
REQUEST_POLL_INTERVAL_S = 0.02
STATUS_TIMEOUT_S = 1.0
#: Longest wait for the response of one control instance before another is asked, in
#: seconds.
ASK_ATTEMPT_S = 1.0
#: Time between two unrequested reports of an entry instance, in seconds. They replace
#: reports that were dropped because a send queue was full.
ENTRY_REPORT_INTERVAL_S = 5.0
#: Time between two load reports of an entry instance, in seconds.
ENTRY_LOAD_INTERVAL_S = 1.0
#: Number of control instances that send an instance each change at once; if one of them
#: is lost, the instance still receives the change from the other.
PRIMARY_COUNT = 2
#: Time for which changes of the roster are collected before they are sent, in seconds.
ROSTER_FLUSH_INTERVAL_S = 0.2
#: Time between two pulses to the entry instances that this control instance is a
#: primary of, in seconds.
PRIMARY_PULSE_INTERVAL_S = 1.0
#: Time between two pulses to all other entry instances, in seconds; well below
#: ENTRY_RETENTION_S.
SECONDARY_PULSE_INTERVAL_S = 4.0
#: Time for which the roster of a control instance is valid after its last confirmation,
#: in seconds; a little above SECONDARY_PULSE_INTERVAL_S.
ROSTER_LIFETIME_S = 5.0
#: Time for which the computed list of ready entry instances is cached, in seconds:
#: callers look them up hundreds of times a second.
READY_CACHE_S = 0.1
#: Time for which the digest of a roster may differ from the one that the control
#: instance sends before all rows are requested, in seconds. Changes that are already on
#: their way arrive sooner.
DIGEST_MISMATCH_GRACE_S = 0.9
#: Decimal digits of a request rate in load reports.
DEMAND_DIGITS = 2
#: Age of a load report after which its counts are left out of the sums, in seconds:
#: counts of a frozen or lost entry instance would hold up the admission level. A little
#: above two ENTRY_LOAD_INTERVAL_S.
MAX_COUNTS_AGE_S = 2.5
#: Workspaces that are named for each service in the sums, and services in them; the
#: links of entry instances are narrow.
MAX_SUMMED_WORKSPACES = 8
MAX_SUMMED_SERVICES = 64
#: Time for which an entry instance is still listed after its stream closed, in seconds,
#: because only the stream may have been lost.
ENTRY_DETACH_GRACE_S = 0.6
#: Time for which an entry instance that no control instance lists any more still counts
#: as one that may be sending requests, in seconds: the longest window of the limits
#: that are divided among entry instances.
ENTRY_RETENTION_S = 10.0
#: Time after an entry instance was last listed by a control instance, in seconds, for
#: which it assumes that the other entry instances count it when they divide limits;
#: after that it uses no share of them. A little above two PRIMARY_PULSE_INTERVAL_S.
MAX_LISTING_AGE_S = 2.5
#: Longest time until the other entry instances know a new one, in seconds: collection
#: for ROSTER_FLUSH_INTERVAL_S, the way between regions, and reserve for a late message.
MAX_ANNOUNCE_DELAY_S = 1.0
#: Time for which an entry instance keeps its share of a limit over a window after it
#: was last listed, in seconds: one that is cut off goes on using its share. As long as
#: CONTROL_RETENTION_S.
SHARE_RETENTION_S = 60.0
#: Time for which a control instance that nobody lists any more is still dialled, in
#: seconds; the longest network cut that the design allows for is well below it.
CONTROL_RETENTION_S = 60.0
