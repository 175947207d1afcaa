"""Constants of the limits slice."""

#: Time for which a leased share may be used, in seconds, counted from the sending of
#: the renewal that it answers.
LEASE_S = 5.0
#: Time between two renewals of a holder, in seconds, before jitter.
RENEWAL_INTERVAL_S = 1.0
#: Largest jitter of a renewal, as a ratio of the renewal interval.
RENEWAL_JITTER_RATIO = 0.2
#: Shortest time between two renewals, in seconds; applies when a holder has no free
#: share and renews early.
MIN_RENEWAL_INTERVAL_S = 0.1
#: Longest wait for the answer to a renewal, in seconds.
RENEWAL_TIMEOUT_S = 2.0
#: Longest wait for a majority to confirm the leader, in seconds.
CONFIRM_TIMEOUT_S = 1.5

#: Time within which targets cancel the requests of a process that died, in seconds;
#: the kernel closes its connections, and targets take that as cancellation.
CANCELLATION_TIME_S = 1.0

#: Number of seats per region among which the static reserve is split; one entry
#: instance has one seat.
ENTRY_SEATS_PER_REGION = 4
#: Divisor of a region's capacity that gives the static reserve.
STATIC_SHARE_DIVISOR = 4

#: Shortest window over which use is averaged, in seconds.
WINDOW_S = 0.5
#: Requests added to the wanted share on top of expected peaks.
SPARE_REQUESTS = 2
#: Standard deviations above mean use that expected peaks reach.
PEAK_DEVIATIONS = 2.5
#: Duration assumed for a request before any has ended, in seconds.
DEFAULT_DURATION_S = 0.2
#: Weight of one request in the moving average of durations.
DURATION_WEIGHT = 0.05
#: Weight of one window in the moving average of use.
MEAN_WEIGHT = 0.5
#: Standard deviations above mean use that count as needed.
NEEDED_DEVIATIONS = 0.5
#: Shortest time over which rates are computed, in seconds.
MIN_RATE_WINDOW_S = 0.2

#: Divisor of a share that gives the part reserved for requests that are not
#: idempotent.
NON_IDEMPOTENT_RESERVE_DIVISOR = 10
