"""Stand-ins for what the administration API is built on."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from expression import Error, Ok

from mothshunt.configuration.model import Configuration
from mothshunt.configuration.service import InstanceStatus
from mothshunt.configuration.state import ReplicatedConfiguration
from mothshunt.consensus.model import ConsensusStatus, Voter
from mothshunt.core.codes import Failure, ResultCode
from mothshunt.core.types import Ran
from mothshunt.util import wire

NO_MAJORITY = ResultCode(
    number=4999, name="no_majority", http_status=503, summary="No majority.", action=""
)


@dataclass
class ManualClock:
    """Tell the time that the test sets."""

    now: float = 1000.0

    def monotonic(self):
        return self.now


@dataclass
class FakeLog:
    """Apply every command at once, as a log of one replica would.

    ``failing`` makes every call fail as it does without a majority; ``losing``
    applies commands and says that their outcome is unknown.
    """

    state: ReplicatedConfiguration
    index: int = 0
    proposals: list = field(default_factory=list)
    voters: tuple = (Voter(id="a1", host="127.0.0.1", port=1),)
    failing: bool = False
    losing: bool = False
    after_proposal: Callable[[], None] = lambda: None
    reads: int = 0
    read_s: float = 0.0

    async def async_propose(self, command, timeout_s):
        message = wire.unpack(command).ok
        self.proposals.append(message)
        if self.failing:
            return Error(Failure(code=NO_MAJORITY, retry_after_s=1.0))
        self.index += 1
        outcome = self.state.apply(self.index, message)
        self.after_proposal()
        if self.losing:
            return Error(Failure(code=NO_MAJORITY, ran=Ran.UNKNOWN))
        return Ok(wire.pack(outcome))

    async def async_read_barrier(self, timeout_s):
        self.reads += 1
        await asyncio.sleep(self.read_s)
        if self.failing:
            return Error(Failure(code=NO_MAJORITY))
        return Ok(self.index)

    async def async_add_voter(self, voter, timeout_s):
        self.voters += (voter,)
        self.index += 1
        return Ok(self.index)

    async def async_remove_voter(self, voter, timeout_s):
        self.voters = tuple(known for known in self.voters if known.id != voter)
        self.index += 1
        return Ok(self.index)

    def status(self):
        return ConsensusStatus(
            term=1,
            state="leader",
            leader="a1",
            commit_index=self.index,
            applied_index=self.index,
            last_index=self.index,
            voters=self.voters,
        )


@dataclass
class FakeStatus:
    """Tell of instances whose revision follows the configuration, but for some."""

    state: ReplicatedConfiguration
    ids: Sequence[str] = ("a1", "b1", "c1")
    revision_by_id: dict = field(default_factory=dict)
    lost: set = field(default_factory=set)
    in_flight: int = 0
    age_s: float = 0.1

    async def async_instances(self, timeout_s):
        return Ok(tuple(map(self._status, self.ids)))

    def _status(self, name):
        return InstanceStatus(
            id=name,
            region="north",
            availability_zone=f"north-{name[0]}",
            roles=("entry", "control"),
            state="lost" if name in self.lost else "ready",
            revision=self.revision_by_id.get(name, self.state.store.revision),
            age_s=self.age_s,
            in_flight=self.in_flight,
        )


@dataclass
class FakeSource:
    """Give a configuration that holds instances and contracts of the test."""

    state: ReplicatedConfiguration
    instance_by_id: dict = field(default_factory=dict)
    contract_by_customer: dict = field(default_factory=dict)

    def current(self):
        return Configuration(
            revision=self.state.store.revision,
            instance_by_id=self.instance_by_id,
            contract_by_customer=self.contract_by_customer,
        )


@dataclass
class FakeTargets:
    """Give the targets of the test."""

    targets_by_service: dict = field(default_factory=dict)

    def targets(self, customer, service):
        return self.targets_by_service.get((customer, service), ())
