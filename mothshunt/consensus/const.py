"""Constants of the replicated log."""

HEARTBEAT_S = 0.4
ELECTION_MIN_S = 1.4
ELECTION_MAX_S = 2.4
#: Appends without an answer are sent again after this long.
RESEND_S = 0.8
#: Time between two looks at whether the stream to the leader is open.
LEADER_CHECK_S = 0.1
#: After the stream to the leader closed, an election starts within these times; the
#: others have noticed by then.
LOST_MIN_S = 0.15
LOST_MAX_S = 0.45
#: Longest time in which a leader tries to hand over its leadership.
TRANSFER_TIMEOUT_S = 1.5

#: Most voters and learners together.
MAX_MEMBERS = 7
#: A voter that has not answered for this time is replaced by a learner that keeps up.
#: It outlasts an election, and is well below the time in which a new machine must
#: stand in for a lost one.
REPLACE_AFTER_S = 2.5
#: Time between two looks of the leader at the members.
UPKEEP_INTERVAL_S = 0.5
#: Bytes that an entry takes besides its data, about.
ENTRY_OVERHEAD_BYTES = 32
MAX_APPEND_BYTES = 256 * 1024
MAX_APPENDS_IN_FLIGHT = 8
SNAPSHOT_CHUNK_BYTES = 256 * 1024
MAX_COMMAND_BYTES = 1024 * 1024
#: Proposals are refused while more than this waits to be committed.
MAX_UNCOMMITTED_BYTES = 16 * 1024 * 1024

#: Entries applied since the last snapshot after which a new one is taken.
SNAPSHOT_AFTER_ENTRIES = 4096
#: The same where the state is large, whatever its size.
SNAPSHOT_AFTER_ENTRIES_AT_MOST = 32768
#: Bytes of entries applied since the last snapshot after which a new one is taken,
#: unless the state is larger. Entries are held in memory until then.
SNAPSHOT_AFTER_BYTES = 16 * 1024 * 1024
#: Entries, and their bytes, kept before a snapshot for followers that lag a little.
KEEP_ENTRIES = 1024
KEEP_BYTES = 4 * 1024 * 1024
SEGMENT_BYTES = 8 * 1024 * 1024

HELLO_INTERVAL_S = 0.5
HELLO_TIMEOUT_S = 1.0
#: Each of the instances that may found the log proposes this much later than the one
#: before it, so that two rarely do so at once: some round trips of a slow link.
FOUNDING_TURN_S = 1.0
#: A majority founds the log without the others after this long; instances of a
#: deployment that start together are up within about a second of each other.
FOUNDING_PATIENCE_S = 2.0
#: Time after which a caller may try again while there is no leader.
RETRY_AFTER_S = 1.0
#: Pause before a proposal or read that was surely not taken is tried again.
RETRY_PAUSE_S = 0.05
#: Longest wait for one answer to a read before it is asked again.
READ_ATTEMPT_S = 1.0
