"""Constants of the registry slice."""

#: Time for which a control instance collects changed renewals before it sends them on,
#: in seconds.
FLUSH_INTERVAL_S = 0.1
#: Time between two pulses to the other control instances and to the entry instances
#: that have this one as a primary, in seconds; half of a usual renewal interval.
PULSE_INTERVAL_S = 0.75
#: Time between two pulses to all other entry instances, in seconds. An entry instance
#: replaces a lost primary sooner than that.
FULL_PULSE_INTERVAL_S = 3.0
#: Units of age in a pulse for one renewal interval. A byte then covers eight intervals,
#: more than twice the time after which a target counts as late.
UNITS_PER_INTERVAL = 30
#: Greatest age in a pulse, in units.
MAX_UNITS = 255
#: Time after its start at which a control instance counts as settled, in renewal
#: intervals: half of the targets have renewed themselves by then. If it waited for
#: all of them, more requests would be refused in that time than the missing targets
#: make fail (docs/design/platform.md has the figures).
SETTLE_INTERVALS = 0.5
#: Time for which the targets of a control instance must have differed before they are
#: requested from it, in seconds: changes already in transit arrive sooner.
MISMATCH_GRACE_S = 0.9
#: Time between two requests for all targets by an instance that is not settled, in
#: seconds: some round trips between distant regions.
INITIAL_REQUEST_INTERVAL_S = 0.3
#: Time after which a target without a renewal is removed, in seconds, provided that
#: other targets have renewed themselves since.
REMOVE_AFTER_S = 60.0
#: Time between two removals of such targets, in seconds.
REMOVAL_INTERVAL_S = 5.0
#: Known targets; the limit bounds the memory that an arbitrary sender can fill.
MAX_TARGETS = 20_000
#: Entry instances that must report that a target leaves before all others stop sending
#: to it: one report alone may be mistaken.
MIN_LEAVE_REPORTS = 2
#: Time within which these reports must arrive, in seconds; a leaving target serves for
#: a few more seconds.
LEAVE_REPORT_WINDOW_S = 10.0
#: Targets whose leave reports are kept.
MAX_REPORTED_TARGETS = 1000
