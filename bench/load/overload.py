"""Emulated exchange of the counts from which admission is decided."""

from collections.abc import Iterable
from functools import partial
from typing import TYPE_CHECKING

from bench.load.deciders import ProductDecider
from bench.load.scenario import EventKind, Scenario
from mothshunt.core.types import AvailabilityZoneId, InstanceId, InstanceState, RegionId
from mothshunt.membership.const import ENTRY_LOAD_INTERVAL_S as REPORT_INTERVAL_S
from mothshunt.membership.roster import RosterTable
from mothshunt.membership.roster_messages import EntryLoad, EntryReport
from mothshunt.placement.admission import LevelAdmission
from mothshunt.placement.admission_counts import ServiceCounts

if TYPE_CHECKING:
    from bench.load.world import World

CONTROL = InstanceId("c1")
#: Time from a report until the control instance sums it, in seconds: half an interval,
#: as reports and sums are of different moments.
SUM_DELAY_S = REPORT_INTERVAL_S / 2


class EmulatedSums:
    """Sum counts of entry instances at one control instance, and send them back.

    :param scenario: The scenario.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.levels: list[tuple[float, dict[str, dict[int, float]]]] = []
        self._table = RosterTable()

    def start(self, world: "World") -> None:
        """Exchange counts from now on, if any entry instance counts.

        :param world: The emulated world.
        """
        if any(self._admissions(world)):
            world.timeline.after(REPORT_INTERVAL_S, partial(self._exchange, world))

    def _admissions(self, world: "World") -> Iterable[tuple[int, LevelAdmission]]:
        for number, entry in enumerate(world.entries):
            decider = entry.decider
            if isinstance(decider, ProductDecider) and decider.admission is not None:
                yield number, decider.admission

    def _extra_delay_s(self, now: float) -> float | None:
        """Return how much later sums arrive at present; ``None`` if they don't."""
        delay_s = 0.0
        for event in self.scenario.events:
            if event.holds(now) and event.kind is EventKind.SILENCE_SUMS:
                return None
            if event.holds(now) and event.kind is EventKind.DELAY_SUMS:
                delay_s += event.x
        return delay_s

    def _exchange(self, world: "World") -> None:
        now = world.timeline.now
        way_s = self.scenario.region_ms / 1000
        for number, admission in self._admissions(world):
            counts = admission.take_counts()
            self._record(InstanceId(f"e{number}"), counts, now)
            admission.update(now)
        extra_s = self._extra_delay_s(now)
        if extra_s is not None:
            delay_s = SUM_DELAY_S + extra_s
            sums = self._table.counts(now + SUM_DELAY_S)
            world.timeline.after(delay_s + way_s, partial(self._deliver, world, sums))
        self._note_level(world, now)
        if now < self.scenario.seconds:
            world.timeline.after(REPORT_INTERVAL_S, partial(self._exchange, world))

    def _record(
        self, entry: InstanceId, counts: tuple[ServiceCounts, ...], now: float
    ) -> None:
        report = EntryReport(
            instance=entry,
            region=RegionId(""),
            availability_zone=AvailabilityZoneId(""),
            host="",
            port=0,
            state=InstanceState.READY,
        )
        self._table.record_report(report, now)
        self._table.record_load(entry, EntryLoad(counts=counts), now)

    def _deliver(self, world: "World", sums: tuple[ServiceCounts, ...]) -> None:
        for _, admission in self._admissions(world):
            admission.record_sums(CONTROL, sums, world.timeline.now)

    def _note_level(self, world: "World", now: float) -> None:
        for _, admission in self._admissions(world):
            fractions = {
                str(name): dict(service.level.fraction_by_urgency)
                for name, service in admission.by_service.items()
            }
            self.levels.append((now, fractions))
            return
