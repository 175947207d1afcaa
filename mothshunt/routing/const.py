"""Constants of the routing slice."""

#: Longest name of a route, host, service or workspace, in characters.
MAX_NAME_LENGTH = 255
#: Longest key of a workspace, in characters.
MAX_KEY_LENGTH = 255
#: Digits of a key's digest that operators are shown: 48 bits tell 10,000 keys apart.
DIGEST_PREFIX_LENGTH = 12
#: Number that stands for greater ones, infinity included; as a time in seconds, 30
#: years.
LARGEST_NUMBER = 1e9
#: Number of targets that are recorded as leaving or left; a deployment replaces far
#: fewer in an hour, and each record takes about 100 bytes.
MAX_RETIRED_TARGETS = 4096
#: Longest wait for the commit of a call, in seconds; after one second without an
#: answer, callers try another control instance.
COMMIT_TIMEOUT_S = 0.95
#: Wait before an evacuation is reversed, in seconds: where the network held up a call,
#: the caller's close of the connection arrives up to a round trip after it.
REVERSAL_DELAY_S = 0.2
