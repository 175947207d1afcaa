"""Constants of the placement slice."""

#: Weight of a new sample in the smoothed service time; RFC 6298 uses the same.
SERVICE_TIME_WEIGHT = 1 / 8
#: Weight of a new outcome in the smoothed failure share of a target; about the
#: last ten requests have most of the weight.
FAILURE_WEIGHT = 0.1
#: A target whose smoothed failure share is above this gets only probe requests.
MAX_FAILURE_SHARE = 0.3
#: Failing targets are passed over only if at least this share of the targets is not
#: failing.
MIN_HEALTHY_SHARE = 0.5
#: Time between two probe requests to a failing target, in seconds.
PROBE_INTERVAL_S = 1.0
#: Time in which the load that a target reported fades from its full value to zero, in
#: seconds: a few service times.
REPORTED_LOAD_LIFETIME_S = 0.5
#: Back-off after the first failed connection to a target, in seconds.
MIN_CONNECT_BACKOFF_S = 0.5
#: Longest back-off after failed connections, in seconds.
MAX_CONNECT_BACKOFF_S = 4.0
#: A target is silent if its oldest request has been pending for this multiple of the
#: usual service time and no response has come from it meanwhile.
SILENCE_FACTOR = 4.0
#: Shortest time after which a target is silent, in seconds. Only new requests go to
#: other targets, so one that is slow once loses little by it.
MIN_SILENCE_S = 0.5
#: A target whose newest renewal is this many renewal intervals older than the newest of
#: any target gets no new requests, unless it responded recently.
MAX_MISSED_RENEWALS = 3.5
#: Time for which a response proves that the target is alive, in seconds.
RECENT_RESPONSE_S = 2.0
#: Longest pause that a target may ask for, in seconds. A wrong value must not exclude
#: it forever; targets ask for some seconds.
MAX_PAUSE_S = 300.0
#: Longest time that a renewal takes to reach an entry instance, in seconds. Renewals
#: may be delayed for some seconds.
MAX_RENEWAL_DELAY_S = 5.0
#: Time for which a target gets no requests if it is unclear whether its present or its
#: previous incarnation announced that it leaves, in seconds. An incarnation that leaves
#: has ended by then.
UNCERTAIN_LEAVE_S = 30.0
#: Number of targets whose pause or leave notice is remembered: as many as an instance
#: knows (``registry``).
MAX_TARGETS_WITH_NOTICES = 20_000
#: Share of the limit of a cold target that is used; the rest covers jitter on the way.
COLD_LIMIT_SHARE = 0.85
#: Window of the limit of a cold target, in seconds.
COLD_WINDOW_S = 1.0
#: Time for which this instance's share of the limits of cold targets is cached, in
#: seconds, as all entry instances are examined to compute it; well below the time that
#: a new entry instance waits before it sends requests.
COLD_SHARE_CACHE_S = 0.1
#: Assumed service time before the first response, as a multiple of the route's target
#: latency.
INITIAL_UNKNOWN_FACTOR = 1.0
#: The same for an object that the target knows, as a multiple of the time for objects
#: that it does not know.
INITIAL_KNOWN_FACTOR = 0.5
#: Number of objects that are remembered for each target; targets themselves remember
#: fewer.
MAX_KNOWN_OBJECTS = 512
#: Number of top-ranked targets that are compared for a request. Targets that rank lower
#: don't know the object, and each that learns it drops another one.
MAX_COMPARED_TARGETS = 3
#: A target that ranks lower is preferred only if its expected response time is below
#: this multiple of that of the higher-ranked one.
LOWER_RANK_TIME_FACTOR = 0.75
#: Queue length, as a multiple of the slots, above which an idle target that does not
#: know the object is considered.
CROWDED_QUEUE_FACTOR = 1.0
#: Longest queue, as a multiple of the slots, to which a request is sent that will be
#: late: the target learns the object, and other requests hardly wait for it.
MAX_LATE_QUEUE_FACTOR = 0.75
#: Bounds of a single sample of a target's slowness (its time as a multiple of the
#: expected one).
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0
#: Longest queue at a target, as a multiple of its slots; targets queue a few requests.
MAX_QUEUE_FACTOR = 2.0
#: Shortest and longest retry time that a refusal names, in seconds.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
#: Largest random addition to a retry time, as a share of it, so that callers don't
#: return together.
RETRY_AFTER_SPREAD = 0.5
#: Global affinity is abandoned when the additional delay of other regions exceeds this
#: share of the target latency, ...
GLOBAL_AFFINITY_EXIT_SHARE = 0.5
#: ... and resumed when the delay does not exceed this share.
GLOBAL_AFFINITY_ENTER_SHARE = 0.4
#: Factor by which the minimum response times grow in each adjustment interval, until a
#: lower one occurs: by a tenth in a minute.
MIN_TIME_GROWTH = 1.0008
#: A connection to a target of another region is kept ready if a request is expected to
#: use it within this time, in seconds; targets close idle connections a few seconds
#: later.
READY_CONNECTION_USE_S = 5.0
#: Connections to other regions are kept ready only if the additional delay of those
#: regions is at least this share of the target latency: a caller hardly notices a
#: shorter one, and each connection costs the targets something.
NOTICEABLE_DELAY_SHARE = 0.15
#: Share of a target's connection limit that all entry instances together may keep
#: ready.
MAX_READY_CONNECTIONS_SHARE = 0.25
#: Time between two adjustments of what goes to other regions, in seconds.
ADJUST_INTERVAL_S = 0.5
#: Utilization of a region's targets up to which its requests stay there; above it,
#: requests often wait for each other.
SPILLOVER_UTILIZATION = 0.6
#: Weight of a new interval in the smoothed request rate.
DEMAND_WEIGHT = 0.25
#: Time between two log lines on the choices for a service, in seconds.
REPORT_INTERVAL_S = 2.0
#: Share of the allowed shift between regions that is used; the rest covers requests
#: that change region for other reasons.
SHIFT_LIMIT_SHARE = 0.6
#: Window of the allowed shift between regions, in seconds.
SHIFT_WINDOW_S = 2.0
#: Urgencies of a service whose admitted fraction is a metric.
MAX_URGENCY_METRICS = 4
#: Time constant of the smoothed number of requests at a target, in seconds: several
#: service times.
MEAN_LOAD_TIME_S = 2.0
#: Shortest time constant in which a figure on a target fades to the mean, in seconds.
MIN_FADE_S = 0.1
#: Time after which a figure on the load of a target says nothing, in seconds.
FIGURE_LIFETIME_S = 10.0
#: Bound of the mean of a target, as a multiple of the mean of its service, that its
#: estimate tends to.
MAX_MEAN_FACTOR = 2.0
#: Time in which a figure on the slowdown of a machine fades, in seconds: it changes
#: about as often.
SLOWDOWN_LIFETIME_S = 0.6
#: Bounds of a reported slowdown, so that a false figure neither fills nor empties a
#: target.
MIN_SLOWDOWN = 1.0
MAX_SLOWDOWN = 3.0
#: Demand for the objects of a target, as a multiple of the mean, up to which it keeps
#: them all.
MAX_FIRST_DEMAND = 1.05
#: Counted requests for each target of a service from which on objects are moved.
MIN_DEMAND_PER_TARGET = 5.0
#: Entry instances that each target gets requests without an object from, and the least
#: number of targets of one entry instance. With 2 a target depends on the callers of
#: few instances, with more than 4 an instance can't space its requests to each.
PART_SIZE = 3
#: Bound of the weight of a target that is more or less used than the mean.
MAX_TURN_WEIGHT = 2.0
#: Turns by which a target that was passed over, such as while it was cold, may lag
#: behind, in turns of a target with one slot; it must not get all requests afterwards.
MAX_TURN_LAG = 1.5
#: Utilization of all targets of the own part from which on another one is compared.
CROWDED_UTILIZATION = 2.0
