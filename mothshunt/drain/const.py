"""Constants of the drain of an instance."""

#: Time for the state ``leaving`` to reach all instances that answer look-ups.
SPREAD_MARGIN_S = 2.0
POLL_S = 0.05
PROGRESS_INTERVAL_S = 5.0
