"""One instance among pure nodes: its disk, its clock, its node and its callers."""

from dataclasses import dataclass, field

from mothshunt.consensus.config import ConsensusConfig
from mothshunt.consensus.node import Node
from mothshunt.consensus.voters import Member
from mothshunt.consensus.waiting import ProposalWaiters
from mothshunt.core.types import Ran
from tests.support.consensus_disk import Disk

INITIAL = ("a", "b", "c")
SPARE = ("d", "e")
CONFIG = ConsensusConfig(
    heartbeat_s=0.15,
    election_min_s=0.7,
    election_max_s=1.4,
    resend_s=0.5,
    snapshot_after_entries=12,
    keep_entries=4,
    snapshot_chunk_bytes=40,
)


class Outcome:
    """Stand in for the future of a caller, and keep to what it was told."""

    def __init__(self, world, command):
        self.world = world
        self.command = command
        self.is_told = False

    def done(self):
        return self.is_told

    def set_result(self, result):
        self.is_told = True
        if result.is_ok():
            self.world.answered.add(self.command)
        elif result.error.ran is Ran.NO:
            self.world.refused.add(self.command)


@dataclass
class Process:
    """One instance: its disk, its clock, and its node while it runs."""

    id: str
    disk: Disk
    clock_offset: float
    clock_rate: float
    node: Node | None = None
    applied: list = field(default_factory=list)
    commit_index: int = 0
    waiters: ProposalWaiters = field(default_factory=ProposalWaiters)
    answer_by_instance: dict = field(default_factory=dict)

    @property
    def replica(self):
        return self.disk.durable.replica

    def member(self):
        return Member(id=self.id, host="127.0.0.1", port=1, replica=self.replica)
