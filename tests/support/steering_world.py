"""Entry instance with its shares, an in-memory leader and a few targets."""

import asyncio
import dataclasses
from random import Random

from expression import Error, Ok, Result

from mothshunt.core.codes import Failure
from mothshunt.core.types import InstanceState, TargetState
from mothshunt.discovery.model import LoadReport, Target
from mothshunt.drain.model import Drain, DrainSet
from mothshunt.limits.codes import NOT_LEADER
from mothshunt.limits.coordinator import LeaseHolderCoordinator
from mothshunt.limits.grantor import LeaseGrantor
from mothshunt.limits.messages import RenewalRefused
from mothshunt.membership.model import EntryPresence
from mothshunt.metrics.registry import Metrics
from mothshunt.steering.chooser import Chooser, Location
from mothshunt.steering.coordinator import SteeringCoordinator
from tests.support.limits_world import configuration, entry_record

SEED = 7


class FakeClock:
    """Clock that is advanced by the test."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def monotonic(self) -> float:
        return self.now


class LoopClock:
    """Clock of the running event loop."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()


class World:
    """Fake configuration, directories and connection to the leader."""

    def __init__(self, clock, *, capacity=100, entries=1, **terms) -> None:
        self.clock = clock
        self.records = [entry_record(f"n{i}", "north", i) for i in range(entries)]
        self.configuration = configuration(capacity, 2.0, self.records, **terms)
        self.targets_now: tuple[Target, ...] = ()
        self.metrics = Metrics()
        self.grantor: LeaseGrantor | None = None
        self.reachable = True

    def current(self):
        return self.configuration

    def targets(self, customer, service):
        return self.targets_now

    def entries(self):
        return [
            EntryPresence(
                record=record, incarnation=1, state=InstanceState.READY, load=0
            )
            for record in self.records
        ]

    @property
    def contract(self):
        return self.configuration.contract_by_customer["sleman"]

    def drain(self, kind, name) -> None:
        drains = DrainSet.from_drains([Drain(kind=kind, name=name)])
        self.configuration = dataclasses.replace(self.configuration, drains=drains)

    def undrain(self) -> None:
        self.configuration = dataclasses.replace(self.configuration, drains=DrainSet())

    async def async_ask(self, message, timeout_s) -> Result:
        if not self.reachable:
            return Error(Failure(code=NOT_LEADER))
        if self.grantor is None:
            self.grantor = LeaseGrantor(1, self.clock.monotonic())
        self.grantor.configure(self.configuration)
        result = self.grantor.grant(message, self.clock.monotonic())
        if result.is_ok():
            return Ok(result.ok)
        code = result.error.code.number
        return Ok(RenewalRefused(sequence=message.sequence, code=code))

    def limits(self, incarnation=1) -> LeaseHolderCoordinator:
        coordinator = LeaseHolderCoordinator(
            instance="n0",
            incarnation=incarnation,
            region="north",
            configuration=self,
            control=self,
            clock=self.clock,
            metrics=self.metrics,
        )
        coordinator.refresh()
        return coordinator

    def chooser(self, limits) -> Chooser:
        return Chooser(
            location=Location(region="north", availability_zone="north-a"),
            directory=self,
            holder=limits.holder,
            entry_count=lambda: len(self.records),
            rng=Random(SEED),
            started_at=self.clock.monotonic(),
        )

    def steering(self, limits) -> SteeringCoordinator:
        return SteeringCoordinator(
            region="north",
            availability_zone="north-a",
            incarnation=1,
            directory=self,
            entries=self,
            configuration=self,
            limits=limits,
            clock=self.clock,
            metrics=self.metrics,
        )


def target(name, zone, *, slots=5, seen_at=0.0, reported=None, now=0.0) -> Target:
    """Return a target of the service inventory."""
    report = None
    if reported is not None:
        report = LoadReport(in_flight=reported, connections=reported, measured_at=now)
    return Target(
        id=name,
        incarnation=1,
        customer="sleman",
        service="inventory",
        host="127.0.0.1",
        port=1,
        region=zone.rsplit("-", 1)[0],
        availability_zone=zone,
        slots=slots,
        state=TargetState.SERVING,
        first_seen_at=seen_at,
        report=report,
    )
