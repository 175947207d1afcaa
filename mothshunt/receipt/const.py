"""Constants of the receipt slice."""

#: Interval at which the event loop is watched, in seconds.
WATCH_INTERVAL_S = 0.1
#: Gap between two looks from which the process was suspended, in seconds. Callers wait
#: longer than this for a response before they turn to another instance.
MIN_SUSPENSION_S = 0.5
#: Time after a suspension in which calls may be read that arrived during it, in
#: seconds.
CATCH_UP_S = 0.5
