"""Fakes of the interfaces that the dispatch and ledger slices use."""

import asyncio
from dataclasses import dataclass, field

from expression import Error, Ok

from mothshunt.configuration.model import Configuration
from mothshunt.contract.model import (
    Contract,
    IdempotentRule,
    RegionCapacity,
    RetryBudget,
    ServiceContract,
    ShiftLimit,
)
from mothshunt.core.codes import Failure, ResultCode
from mothshunt.core.types import Preference, Ran, TargetState
from mothshunt.discovery.model import Target
from mothshunt.ledger.applier import LedgerApplier
from mothshunt.ledger.messages import Release
from mothshunt.limits.model import Permit
from mothshunt.steering.model import Choice

NO_TARGET = ResultCode(
    number=2299,
    name="fake_no_target",
    http_status=503,
    summary="The fake has no target left.",
    action="None.",
)
NO_STREAM = ResultCode(
    number=1105, name="fake_no_stream", http_status=503, summary="", action=""
)
NO_REPLY = ResultCode(
    number=1106, name="fake_no_reply", http_status=503, summary="", action=""
)


def contract(timeout_ms: int = 5000, ratio: float = 1.0, minimum: float = 10.0):
    """Return a contract with one service and one idempotent PUT path."""
    service = ServiceContract(
        service="circuit-ordering",
        idempotent=(IdempotentRule(method="PUT", path="/status/*"),),
        request_timeout_ms=timeout_ms,
    )
    return Contract(
        customer="rackhaven",
        weighs=Preference.LATENCY,
        services=(service,),
        regions=(RegionCapacity(region="north", capacity=100),),
        shift=ShiftLimit(cap=10, step=5),
        retry=RetryBudget(ratio=ratio, minimum_per_s=minimum),
    )


@dataclass
class FixedConfiguration:
    """Configuration source with one unchanging contract."""

    contract: Contract

    def current(self) -> Configuration:
        return Configuration(contract_by_customer={"rackhaven": self.contract})


@dataclass
class ListChooser:
    """Chooser of the first target in a list that is not excluded."""

    targets: list[Target] = field(default_factory=list)
    chosen: list[str] = field(default_factory=list)
    outcomes: list[tuple[str, str]] = field(default_factory=list)
    permits_in_use: int = 0
    delay_s: float = 0.0
    lease_ended: bool = False
    max_permits: int = 1000

    def add(self, name: str, port: int) -> None:
        self.targets.append(
            Target(
                id=name,
                incarnation=1,
                customer="rackhaven",
                service="circuit-ordering",
                host="127.0.0.1",
                port=port,
                region="north",
                availability_zone="north-a",
                slots=4,
                state=TargetState.SERVING,
                first_seen_at=0.0,
            )
        )

    async def async_choose(self, *, contract, service, idempotent, excluded, deadline):
        await asyncio.sleep(self.delay_s)
        for target in self.targets:
            if target.id not in excluded and self.permits_in_use < self.max_permits:
                self.chosen.append(target.id)
                self.permits_in_use += 1
                permit = Permit(number=len(self.chosen), keys=())
                return Ok(Choice(target=target, permit=permit, started_at=0.0))
        return Error(Failure(code=NO_TARGET, retry_after_s=2.5))

    def may_dispatch(self, choice, now) -> bool:
        return not self.lease_ended

    def finish(self, choice, outcome, now) -> None:
        self.permits_in_use -= 1
        self.outcomes.append((choice.target.id, outcome.value))


@dataclass
class FakeControl:
    """Control instance that applies commands to a ledger, with faults set by a test.

    A fault is ``unreachable`` (the command is lost), ``lost_answer`` (the command is
    applied and its answer is lost) or ``late`` (the test applies the command later).
    """

    applier: LedgerApplier = field(default_factory=LedgerApplier)
    faults_by_kind: dict[str, list[str]] = field(default_factory=dict)
    index: int = 0
    asked: list[object] = field(default_factory=list)
    late: list[object] = field(default_factory=list)
    released: asyncio.Event = field(default_factory=asyncio.Event)

    async def async_ask(self, message, timeout_s):
        await asyncio.sleep(0)
        self.asked.append(message)
        faults = self.faults_by_kind.get(type(message).__name__)
        fault = faults.pop() if faults else ""
        if fault == "unreachable":
            return Error(Failure(code=NO_STREAM, ran=Ran.NO))
        if fault == "late":
            self.late.append(message)
            return Error(Failure(code=NO_REPLY, ran=Ran.UNKNOWN))
        answer = self.apply(message)
        if fault == "lost_answer":
            return Error(Failure(code=NO_REPLY, ran=Ran.UNKNOWN))
        return Ok(answer)

    def apply(self, message):
        self.index += 1
        if isinstance(message, Release):
            self.released.set()
        return self.applier.apply(self.index, message)
