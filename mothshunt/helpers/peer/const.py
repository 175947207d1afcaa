"""Constants of the streams between instances."""

MAX_FRAME_BYTES = 4 * 1024 * 1024
#: Most bytes of a frame after it was decompressed: some 25,000 routes.
MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024
#: Frames from this size on are compressed.
MIN_COMPRESSED_BYTES = 8 * 1024
#: Part of the original size above which the original is sent.
MAX_COMPRESSION_RATIO = 0.9
MAX_QUEUED_FRAMES = 4096
#: Frames of this size, not compressed, or more are large.
MIN_LARGE_BYTES = 8 * 1024
#: Most bytes of smaller frames that wait on a stream that a peer dialled.
MAX_SMALL_BYTES_PER_ACCEPTED_STREAM = 128 * 1024
#: The same on a stream to a control instance, to which callers' claims are sent.
MAX_SMALL_BYTES_PER_DIALLED_STREAM = 2 * 1024 * 1024
#: Most bytes of large frames that wait on a stream that a peer dialled, unless it is a
#: single one.
MAX_LARGE_BYTES_PER_ACCEPTED_STREAM = 4 * 1024 * 1024
#: The same on a stream to a control instance, where parts of the replicated log wait.
MAX_LARGE_BYTES_PER_DIALLED_STREAM = 16 * 1024 * 1024
#: Most bytes of large frames that wait on all streams that peers dialled.
MAX_LARGE_BYTES_IN_ALL = 64 * 1024 * 1024
#: Bytes that are handed to a socket at a time, which copies those that don't fit.
WRITE_BYTES = 16 * 1024
HANDSHAKE_TIMEOUT_S = 3.0
HEARTBEAT_INTERVAL_S = 0.6
SILENCE_TIMEOUT_S = 2.0
WATCH_INTERVAL_S = 0.2
#: Callers stop waiting for a response after one second; a redial must not take longer.
CONNECT_TIMEOUT_S = 1.0
#: Longest wait for the tasks of closed streams when an instance stops; they end at once
#: unless a handler keeps them busy.
CLOSE_TIMEOUT_S = 0.2
MIN_REDIAL_DELAY_S = 0.05
#: An instance that lost its streams must be attached again well within the 3 s for
#: which it still counts as connected.
MAX_REDIAL_DELAY_S = 0.5
MAX_PENDING_HANDSHAKES = 64
MAX_HANDSHAKES_PER_S = 200.0
#: Bytes waiting on all streams from which on their growth is logged.
MIN_REPORTED_PENDING_BYTES = 8 * 1024 * 1024
#: Large messages whose frames are kept to be sent to further peers.
REMEMBERED_LARGE_MESSAGES = 4
