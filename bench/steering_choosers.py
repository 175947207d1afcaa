"""The choosers that are compared."""

from collections.abc import Callable, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Protocol

from bench.steering_profiles import CustomerProfile, entry_records
from bench.steering_scenarios import Arrival
from bench.timeline import Timeline
from mothshunt.configuration.model import Configuration
from mothshunt.core.types import (
    CustomerId,
    Incarnation,
    Revision,
    ServiceName,
    TargetId,
    Term,
)
from mothshunt.discovery.model import Target
from mothshunt.limits.const import (
    MIN_RENEWAL_INTERVAL_S,
    RENEWAL_INTERVAL_S,
    RENEWAL_JITTER_RATIO,
)
from mothshunt.limits.grantor import LeaseGrantor
from mothshunt.limits.holder import LeaseHolder
from mothshunt.limits.messages import Grant, Renewal
from mothshunt.limits.shares import limit_by_key, static_share
from mothshunt.membership.model import InstanceRecord
from mothshunt.steering.chooser import Chooser, Location
from mothshunt.steering.model import Choice, Outcome


class Directory:
    """Give the same view of targets to every entry instance."""

    def __init__(self) -> None:
        self._targets_by_service: dict[ServiceName, Sequence[Target]] = {}

    def replace(self, targets: Sequence[Target]) -> None:
        """Take over a new view.

        :param targets: All targets that are known.
        """
        grouped: dict[ServiceName, list[Target]] = {}
        for target in targets:
            grouped.setdefault(target.service, []).append(target)
        self._targets_by_service = dict(grouped)

    def targets(self, customer: CustomerId, service: ServiceName) -> Sequence[Target]:
        """Return the targets of a service; see ``TargetDirectory``."""
        return self._targets_by_service.get(service, ())


@dataclass(frozen=True, slots=True)
class Picked:
    """Hold a chosen target and what the chooser needs to finish."""

    target: Target
    choice: Choice | None = None


class Deciding(Protocol):
    """Choose targets for all entry instances of a run."""

    #: Whether a refused request waits a moment for room.
    waits: bool

    def pick(
        self,
        arrival: Arrival,
        excluded: AbstractSet[TargetId],
        now: float,
        stay_in_region: bool,
        count_refusal: bool,
    ) -> Picked | None:
        """Choose a target, or refuse."""
        ...

    def finish(
        self, arrival: Arrival, picked: Picked, outcome: Outcome, now: float
    ) -> None:
        """Learn how an attempt ended."""
        ...

    def start(self, wake: Callable[[int], None]) -> None:
        """Set up what recurs; ``wake`` lets waiting requests of an entry try."""
        ...


class RandomChooser:
    """Choose any live target."""

    waits = False

    def __init__(
        self,
        profile: CustomerProfile,
        directory: Directory,
        timeline: Timeline,
        seed: int,
    ) -> None:
        self._profile = profile
        self._directory = directory
        self._rng = Random(seed)

    def pick(
        self,
        arrival: Arrival,
        excluded: AbstractSet[TargetId],
        now: float,
        stay_in_region: bool,
        count_refusal: bool,
    ) -> Picked | None:
        """Choose a target, or refuse."""
        live = self._directory.targets(self._profile.name, arrival.service)
        live = [target for target in live if target.id not in excluded]
        return Picked(self._rng.choice(live)) if live else None

    def finish(
        self, arrival: Arrival, picked: Picked, outcome: Outcome, now: float
    ) -> None:
        """Learn nothing."""

    def start(self, wake: Callable[[int], None]) -> None:
        """Set up nothing."""


class RoundRobinChooser(RandomChooser):
    """Choose live targets in turn, each entry instance for itself."""

    def __init__(
        self,
        profile: CustomerProfile,
        directory: Directory,
        timeline: Timeline,
        seed: int,
    ) -> None:
        super().__init__(profile, directory, timeline, seed)
        self._turn_by_place: dict[tuple[int, ServiceName], int] = {}

    def pick(
        self,
        arrival: Arrival,
        excluded: AbstractSet[TargetId],
        now: float,
        stay_in_region: bool,
        count_refusal: bool,
    ) -> Picked | None:
        """Choose a target, or refuse."""
        live = self._directory.targets(self._profile.name, arrival.service)
        place = (arrival.entry, arrival.service)
        turn = self._turn_by_place.get(place, self._rng.randrange(1000))
        for offset in range(len(live)):
            target = live[(turn + offset) % len(live)]
            if target.id not in excluded:
                self._turn_by_place[place] = turn + offset + 1
                return Picked(target)
        return None


class MothshuntChooser:
    """Choose as the product does, with its shares leased from one grantor."""

    waits = True

    def __init__(
        self,
        profile: CustomerProfile,
        directory: Directory,
        timeline: Timeline,
        seed: int,
    ) -> None:
        self._profile = profile
        self._timeline = timeline
        self._contract = profile.contract()
        self._rng = Random(seed)
        records = entry_records()
        self._configuration = Configuration(
            revision=Revision(1),
            contract_by_customer={profile.name: self._contract},
            instance_by_id={record.id: record for record in records},
        )
        self._grantor = LeaseGrantor(Term(1), timeline.now)
        self._grantor.configure(self._configuration)
        self._holders = [self._holder(record) for record in records]
        self._choosers = [
            self._chooser(record, holder, directory, seed)
            for record, holder in zip(records, self._holders, strict=True)
        ]
        self._asking = [False] * len(records)
        self._asked_at = [timeline.now] * len(records)
        self._wake: Callable[[int], None] = lambda entry: None

    def _holder(self, record: InstanceRecord) -> LeaseHolder:
        holder = LeaseHolder(
            record.id, Incarnation(1), record.region, self._timeline.now
        )
        limits = limit_by_key(self._configuration)
        static_by_key = {
            key: static_share(key, limit, record) for key, limit in limits.items()
        }
        holder.configure(self._configuration.revision, static_by_key)
        return holder

    def _chooser(
        self,
        record: InstanceRecord,
        holder: LeaseHolder,
        directory: Directory,
        seed: int,
    ) -> Chooser:
        return Chooser(
            location=Location(
                region=record.region, availability_zone=record.availability_zone
            ),
            directory=directory,
            holder=holder,
            entry_count=lambda: len(self._holders),
            rng=Random(f"{seed} {record.id}"),
            started_at=self._timeline.now,
        )

    def pick(
        self,
        arrival: Arrival,
        excluded: AbstractSet[TargetId],
        now: float,
        stay_in_region: bool,
        count_refusal: bool,
    ) -> Picked | None:
        """Choose a target, or refuse."""
        result = self._choosers[arrival.entry].choose(
            contract=self._contract,
            service=arrival.service,
            idempotent=arrival.idempotent,
            excluded=excluded,
            drains=self._configuration.drains,
            now=now,
            count_refusal=count_refusal,
            stay_in_region=stay_in_region,
        )
        if result.is_ok():
            return Picked(result.ok.target, result.ok)
        if now - self._asked_at[arrival.entry] >= MIN_RENEWAL_INTERVAL_S:
            self._ask(arrival.entry)
        return None

    def finish(
        self, arrival: Arrival, picked: Picked, outcome: Outcome, now: float
    ) -> None:
        """Learn how an attempt ended."""
        assert picked.choice is not None
        self._choosers[arrival.entry].finish(picked.choice, outcome, now)

    def start(self, wake: Callable[[int], None]) -> None:
        """Set up the renewals."""
        self._wake = wake
        for entry in range(len(self._holders)):
            self._ask(entry)
            self._timeline.after(self._rng.random(), partial(self._renew, entry))

    def _renew(self, entry: int) -> None:
        self._ask(entry)
        spread = self._rng.uniform(-RENEWAL_JITTER_RATIO, RENEWAL_JITTER_RATIO)
        pause = RENEWAL_INTERVAL_S * (1 + spread)
        self._timeline.after(pause, partial(self._renew, entry))

    def _ask(self, entry: int) -> None:
        """Send a renewal; the leader and a majority are in another region."""
        if self._asking[entry]:
            return
        self._asking[entry] = True
        self._asked_at[entry] = self._timeline.now
        renewal = self._holders[entry].prepare_renewal(self._timeline.now)
        # Half a round trip to the leader, then its round of confirmation.
        delay = self._profile.region_latency_s * 1.5
        self._timeline.after(delay, partial(self._grant, entry, renewal))

    def _grant(self, entry: int, renewal: Renewal) -> None:
        grant = self._grantor.grant(renewal, self._timeline.now).ok
        delay = self._profile.region_latency_s / 2
        self._timeline.after(delay, partial(self._accept, entry, grant))

    def _accept(self, entry: int, grant: Grant) -> None:
        self._asking[entry] = False
        self._holders[entry].accept(grant, self._timeline.now)
        self._wake(entry)


CHOOSERS: dict[str, type[RandomChooser] | type[MothshuntChooser]] = {
    "mothshunt": MothshuntChooser,
    "random": RandomChooser,
    "round_robin": RoundRobinChooser,
}
