"""Exchange of the loads of targets between emulated entry and control instances."""

from dataclasses import dataclass, field

from bench.load.scenario import Scenario
from bench.timeline import Timeline
from mothshunt.core.types import AvailabilityZoneId, InstanceId
from mothshunt.load_sharing.const import SHARE_INTERVAL_S
from mothshunt.load_sharing.entry_state import EntryLoads
from mothshunt.load_sharing.state import LoadBoard
from mothshunt.membership.const import PRIMARY_COUNT


@dataclass(frozen=True, slots=True, eq=False)
class SharingEntry:
    """One entry instance that takes part.

    :param zone: Where it runs.
    :param loads: What it tells and is told.
    :param controls: Control instances, nearest first.
    """

    zone: AvailabilityZoneId
    loads: EntryLoads
    controls: tuple[InstanceId, ...]


@dataclass(slots=True, eq=False)
class EmulatedSharing:
    """Carry the messages of entry and control instances, with the delays of the ways.

    :param scenario: The scenario.
    :param timeline: Runs what comes later.
    :param zone_by_control: Availability zones of the control instances.
    :param entries: Entry instances that take part.
    :param lost_controls: Control instances that are gone.
    :param extra_delay_s: Time by which the messages of control instances come later.
    """

    scenario: Scenario
    timeline: Timeline
    zone_by_control: dict[InstanceId, AvailabilityZoneId]
    entries: list[SharingEntry] = field(default_factory=list)
    lost_controls: set[InstanceId] = field(default_factory=set)
    extra_delay_s: float = 0.0
    _board_by_control: dict[InstanceId, LoadBoard] = field(default_factory=dict)

    def start(self) -> None:
        """Begin to carry messages, the instances at different times."""
        for number, control in enumerate(self.zone_by_control):
            self._board_by_control[control] = LoadBoard()
            phase = number / len(self.zone_by_control)
            self.timeline.after(
                phase * SHARE_INTERVAL_S, lambda c=control: self._forward(c)
            )

    def add(self, entry: SharingEntry, phase: float) -> None:
        """Add an entry instance.

        :param entry: The entry instance.
        :param phase: Part of the interval after which it begins.
        """
        self.entries.append(entry)
        self.timeline.after(phase * SHARE_INTERVAL_S, lambda: self._report(entry))

    def _report(self, entry: SharingEntry) -> None:
        now = self.timeline.now
        message = entry.loads.take_message(now)
        if message is not None:
            for control, zone in self.zone_by_control.items():
                if control in self.lost_controls:
                    continue
                board = self._board_by_control[control]
                self.timeline.after(
                    self.scenario.delay_s(entry.zone, zone),
                    lambda b=board: b.record(message, self.timeline.now),
                )
        if now < self.scenario.seconds:
            self.timeline.after(SHARE_INTERVAL_S, lambda: self._report(entry))

    def _forward(self, control: InstanceId) -> None:
        now, zone = self.timeline.now, self.zone_by_control[control]
        news = self._board_by_control[control].take_news(now)
        if news is not None and control not in self.lost_controls:
            for entry in self.entries:
                if control in entry.controls[:PRIMARY_COUNT]:
                    self.timeline.after(
                        self.scenario.delay_s(zone, entry.zone) + self.extra_delay_s,
                        lambda e=entry: e.loads.apply(control, news, self.timeline.now),
                    )
        if now < self.scenario.seconds:
            self.timeline.after(SHARE_INTERVAL_S, lambda: self._forward(control))
