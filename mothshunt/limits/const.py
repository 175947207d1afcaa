"""Constants of the limits slice."""

#: How long a leased share may be used after the request for it was sent, in seconds.
LEASE_S = 5.0
#: Time between two renewals of a holder, in seconds, before jitter.
RENEWAL_INTERVAL_S = 1.0
#: Part of the renewal interval by which each renewal is moved at random.
RENEWAL_JITTER_RATIO = 0.2
#: Least time between two renewals when a holder has run out of room, in seconds.
STARVED_INTERVAL_S = 0.1
#: Time to wait for the answer to a renewal, in seconds.
RENEWAL_TIMEOUT_S = 2.0
#: Time to wait for a majority to confirm the leader, in seconds.
CONFIRM_TIMEOUT_S = 1.5

#: Time in which targets end the requests of a process that died, in seconds; the
#: kernel closes its connections, and targets accept that as cancellation.
CANCELLED_WITHIN_S = 1.0

#: Seats among which the static share of a region is split.
ENTRY_SEATS_PER_REGION = 4
#: The static share is one part in this many of a limit.
STATIC_SHARE_DIVISOR = 4

#: Least period over which use is measured, in seconds.
WINDOW_S = 0.5
#: Room asked for over what peaks take, in requests.
DEMAND_MARGIN = 2
#: Standard deviations over mean use that peaks take.
PEAK_DEVIATIONS = 2.5
#: Time that a request is taken to hold room before any was seen, in seconds.
DEFAULT_HOLD_S = 0.2
#: Weight of one request in the moving average of that time.
HOLD_WEIGHT = 0.05
#: Weight of one period in the moving average of use.
MEAN_WEIGHT = 0.5
#: Standard deviations over mean use that count as needed.
NEED_DEVIATIONS = 0.5
#: Least time over which the rate of refusals is taken, in seconds.
LEAST_WINDOW_S = 0.2

#: Room kept for requests that are not idempotent: one part in this many.
COMMITMENT_RESERVE_DIVISOR = 10
