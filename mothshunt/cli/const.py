"""Constants of the command line."""

ENV_ADMIN = "MOTHSHUNT_ADMIN"
ENV_TOKEN = "MOTHSHUNT_TOKEN"

#: Seconds in which a command tries again before it gives up.
DEFAULT_TIMEOUT_S = 20.0
#: Seconds to wait for one answer; longer than the API waits for a commit.
ATTEMPT_TIMEOUT_S = 6.0
#: Milliseconds that the API waits for a new voter to catch up.
MEMBER_TIMEOUT_MS = 30_000
MEMBER_ATTEMPT_TIMEOUT_S = 31.0
#: Seconds in which the voters are asked for as a majority holds them.
CONFIRMED_GIVE_UP_S = 5.0
CONNECT_TIMEOUT_S = 1.0
#: Seconds between two rounds over the addresses.
ROUND_PAUSE_S = 0.2
#: Rounds in which no address takes a connection before the command gives up.
MAX_UNREACHABLE_ROUNDS = 3

#: Seconds to wait for a change to be in force everywhere.
DEFAULT_WAIT_S = 30.0
#: Seconds between two looks at what is waited for; grows from the first to the last.
FIRST_POLL_INTERVAL_S = 0.1
LAST_POLL_INTERVAL_S = 1.0
POLL_INTERVAL_GROWTH = 1.3

DEFAULT_RECORDS = 100
