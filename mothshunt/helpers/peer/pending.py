"""Reports on what waits to be sent to peers."""

from collections.abc import Mapping
from dataclasses import dataclass

from mothshunt.core.types import InstanceId
from mothshunt.helpers.peer import const
from mothshunt.helpers.peer.log_events import PendingBytesGrew


@dataclass(slots=True)
class PendingReporter:
    """Decider on when growth of the pending bytes is reported.

    :param threshold: Bytes from which on the next line is due.
    """

    threshold: int = const.MIN_REPORTED_PENDING_BYTES

    def next_report(
        self, pending_bytes_by_peer: Mapping[InstanceId, int]
    ) -> PendingBytesGrew | None:
        """Return a line if the pending bytes have reached the threshold.

        :param pending_bytes_by_peer: Bytes that wait to be sent to each peer.
        """
        total = sum(pending_bytes_by_peer.values())
        if total < const.MIN_REPORTED_PENDING_BYTES / 2:
            self.threshold = const.MIN_REPORTED_PENDING_BYTES
        if total < self.threshold:
            return None
        self.threshold = 2 * total
        peer, peer_bytes = max(
            pending_bytes_by_peer.items(), key=lambda pending: pending[1]
        )
        return PendingBytesGrew(
            pending_bytes=total,
            streams=sum(1 for pending in pending_bytes_by_peer.values() if pending),
            peer=peer,
            peer_bytes=peer_bytes,
        )
