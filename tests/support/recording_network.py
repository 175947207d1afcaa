"""Small fakes of the streams and of the clock."""

from dataclasses import dataclass, field


@dataclass
class ManualClock:
    """Give the time that a test set."""

    now: float = 100.0

    def monotonic(self):
        return self.now


@dataclass
class RecordingNetwork:
    """Note what is posted to whom."""

    posted_by_peer: dict[str, list] = field(default_factory=dict)
    full_peers: set[str] = field(default_factory=set)

    def post(self, peer, message):
        if peer in self.full_peers:
            return False
        self.posted_by_peer.setdefault(peer, []).append(message)
        return True

    def post_all(self, peers, message):
        return [peer for peer in peers if not self.post(peer, message)]

    def on_message(self, cls, handler):
        pass
