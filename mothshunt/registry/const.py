"""Constants of the registry slice."""

#: Renewals are gathered for this time before they are passed on, in seconds.
FLUSH_INTERVAL_S = 0.1
#: A renewal that changes nothing is passed on only when the last one is this old, in
#: seconds; entries need it to tell a live target from a lost one.
REFRESH_INTERVAL_S = 1.0
#: A target is forgotten when it was not heard of for this time, in seconds, while
#: others were.
FORGET_AFTER_S = 60.0
#: Time between two messages with all targets, which repair what was lost, in seconds.
FULL_INTERVAL_S = 5.0
#: Targets that are remembered; a stranger must not fill the memory.
MAX_TARGETS = 20_000
