"""Constants of the routing slice."""

#: Longest name of a route, host or service, in characters.
MAX_NAME_LENGTH = 255
#: Targets whose leave is remembered; a deployment replaces far fewer in an hour, and
#: each takes about 100 bytes.
MAX_RETIRED_TARGETS = 4096
#: Longest wait for the commit of a call, in seconds; callers give up after a second
#: without an answer and ask another control instance.
COMMIT_TIMEOUT_S = 0.95
