"""Log lines of the streams between instances: one dataclass for each kind."""

from dataclasses import dataclass

from mothshunt.core.types import InstanceId
from mothshunt.helpers.log import Level, log_event


@log_event("messages to peers pile up", slice_name="peer", level=Level.WARNING)
@dataclass(frozen=True, kw_only=True, slots=True)
class PendingBytesGrew:
    """Growth of what waits to be sent to peers; each line tells of twice as much.

    :param pending_bytes: Bytes that wait on all streams.
    :param streams: Number of streams on which bytes wait.
    :param peer: Peer for which most bytes wait.
    :param peer_bytes: Bytes that wait for it.
    """

    pending_bytes: int
    streams: int
    peer: InstanceId
    peer_bytes: int
