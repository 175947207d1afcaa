"""Constants of the drain slice."""

#: Time for the state ``leaving`` to reach all instances that answer look-ups, in
#: seconds.
LEAVING_PROPAGATION_S = 2.0
#: Time between two checks for requests in flight, in seconds.
POLL_INTERVAL_S = 0.05
#: Time between two log lines while requests are in flight, in seconds.
PROGRESS_LOG_INTERVAL_S = 5.0
