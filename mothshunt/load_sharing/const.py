"""Constants of the load_sharing slice."""

#: Time between two messages of an entry instance to the control instances, and of a
#: control instance to the entry instances that it is a primary of, in seconds. Nothing
#: is sent if nothing has changed.
SHARE_INTERVAL_S = 0.5
#: Rows in one message. With SHARE_INTERVAL_S they bound the bytes a second.
MAX_ROWS = 64
#: Targets that a control instance holds figures of: as many as an instance knows
#: (``registry``).
MAX_TARGETS = 20_000
#: Age from which on a figure is not forwarded, in seconds: the requests that it counted
#: have ended.
MAX_AGE_S = 2.0
#: Time constant of the counted requests by target, in seconds. A target with some ten
#: requests a second then moves few objects by chance alone.
DEMAND_TIME_S = 8.0
#: Entry instances from which on loads are shared, and below which they no longer are.
#: The measurements show no gain with 8; an instance that restarts must not end it.
MIN_ENTRIES = 40
MIN_ENTRIES_TO_STAY = 30
#: Mean queue at the targets of a service, as a multiple of their slots, from which on
#: loads are shared in smaller deployments too.
LONG_QUEUE = 0.5
#: Entry instances from which on they are.
MIN_ENTRIES_WITH_QUEUES = 4
#: Weight of a new report in the mean queue, so that one full target is not taken for
#: all of them.
QUEUE_WEIGHT = 1 / 8
#: Time after the last long queue for which they still are, in seconds.
LONG_QUEUE_LIFETIME_S = 30.0
#: Time between two messages on the demand by target, in seconds.
DEMAND_INTERVAL_S = 1.0
#: Largest figure that is accepted of a message: requests at one target.
MAX_REQUESTS = 100_000
#: Largest slowdown that is accepted of a message, in hundredths.
MAX_SLOWDOWN_PERCENT = 100_000
#: Largest age that is accepted of a message, in milliseconds.
MAX_AGE_MS = 60_000
#: Time for which the demand by target of a control instance counts, in seconds.
DEMAND_LIFETIME_S = 3.5
#: Time between two log lines on the spread over the targets of a service, in seconds.
REPORT_INTERVAL_S = 4.0
#: Time between two looks at which targets and entry instances there are, in seconds.
REFRESH_INTERVAL_S = 0.5

#: Busiest target by the mean of its service; the highest of all services.
METRIC_SPREAD = "mothshunt_target_spread"
#: Whether this instance shares the loads of targets.
METRIC_ACTIVE = "mothshunt_load_sharing_active"
