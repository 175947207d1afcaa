"""Even load of the targets of a service, from figures that are some time old.

Many entry instances choose at once, and each knows of a target only what its own
responses and the other instances told it some time ago. A figure therefore fades to
the mean load of the target, and each instance sends requests without an object to a few
targets of its own, in turn, so that not all take the same one.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from mothshunt.core.types import ServiceName, TargetId
from mothshunt.placement import const
from mothshunt.placement.model import (
    AttemptOutcome,
    PlacementRequest,
    ReportedLoad,
    RoutableTarget,
)
from mothshunt.placement.target_load import TargetLoad
from mothshunt.util.hashing import HASH_RANGE, hash_text


@dataclass(slots=True)
class LoadFigure:
    """Newest figure on the load of a target, of its own response or forwarded.

    :param requests: Requests at the target, those of this instance included.
    :param mean_requests: Smoothed number of requests at the target.
    :param slowdown: Time that work takes on its machine, as a multiple of the usual.
    :param observed_at: Time of the response that carried it, in seconds.
    """

    requests: float = 0.0
    mean_requests: float = 0.0
    slowdown: float = 1.0
    observed_at: float = float("-inf")

    def record(self, requests: float, slowdown: float, observed_at: float) -> bool:
        """Record a figure unless a newer one is known.

        :param requests: Requests at the target.
        :param slowdown: Time that work takes there, as a multiple of the usual.
        :param observed_at: Time of the response that carried it, in seconds.
        :return: Whether it is the newest.
        """
        if observed_at <= self.observed_at:
            return False
        gap_s = observed_at - self.observed_at
        weight = 1.0 - math.exp(-gap_s / const.MEAN_LOAD_TIME_S)
        self.mean_requests += weight * (requests - self.mean_requests)
        self.requests = requests
        self.slowdown = min(const.MAX_SLOWDOWN, max(const.MIN_SLOWDOWN, slowdown))
        self.observed_at = observed_at
        return True

    def is_recent(self, now: float) -> bool:
        """Whether the figure is recent enough to say anything.

        :param now: The present time, in seconds.
        """
        return now - self.observed_at < const.FIGURE_LIFETIME_S

    def estimated_requests(
        self, usual_requests: float, service_s: float, now: float
    ) -> float:
        """Return the estimated number of requests at the target.

        The requests of the figure end within a service time or so, and others arrive
        meanwhile: the estimate tends to the mean of the target. The mean counts only
        within bounds, so that a target that always reports too much or too little is
        neither emptied nor filled.

        :param usual_requests: Mean number of requests at targets of the service.
        :param service_s: Mean service time, in seconds.
        :param now: The present time, in seconds.
        """
        age_s = now - self.observed_at
        fade = math.exp(-age_s / max(const.MIN_FADE_S, service_s))
        mean = min(
            usual_requests * const.MAX_MEAN_FACTOR,
            max(usual_requests / const.MAX_MEAN_FACTOR, self.mean_requests),
        )
        return mean + (self.requests - mean) * fade

    def slowdown_factor(self, now: float) -> float:
        """Return the expected slowdown now: the figure, tending to 1 with its age.

        :param now: The present time, in seconds.
        """
        age_s = now - self.observed_at
        fade = max(0.0, 1.0 - age_s / const.SLOWDOWN_LIFETIME_S)
        return 1.0 + (self.slowdown - 1.0) * fade


@dataclass(slots=True)
class ServiceUse:
    """Use of the targets of a service, computed a few times a second.

    :param utilization: Mean utilization of its targets.
    :param service_s: Mean service time, in seconds.
    """

    utilization: float = 0.0
    service_s: float = 0.0


@dataclass(slots=True)
class EvenLoad:
    """Figures on the load of all targets, and the choices that even it.

    :param random: Source of randomness.
    :param figure_by_target: Newest figure on each target.
    :param moved_share_by_target: Share of the objects of a target that go to the next
        one in the order of their hashes.
    :param position: Rank of this instance among the entry instances of its region, and
        their number.
    """

    random: Random
    figure_by_target: dict[TargetId, LoadFigure] = field(default_factory=dict)
    moved_share_by_target: Mapping[TargetId, float] = field(default_factory=dict)
    position: tuple[int, int] = (0, 1)
    _first_count_by_target: Counter[TargetId] = field(default_factory=Counter)
    _turn_by_target: dict[TargetId, float] = field(default_factory=dict)
    _newest_turn_by_service: dict[ServiceName, float] = field(default_factory=dict)
    _ring_position_by_target: dict[TargetId, int] = field(default_factory=dict)
    _use_by_service: dict[ServiceName, ServiceUse] = field(
        default_factory=lambda: defaultdict(ServiceUse)
    )

    def retain(self, targets: Container[TargetId]) -> None:
        """Forget all other targets.

        :param targets: Targets that exist.
        """
        held_by_target: dict[TargetId, Any]
        for held_by_target in (
            self.figure_by_target,
            self._turn_by_target,
            self._ring_position_by_target,
        ):
            for target in [t for t in held_by_target if t not in targets]:
                del held_by_target[target]

    def take_first_counts(self) -> Counter[TargetId]:
        """Return the requests since the last call, by first target of their object."""
        counts, self._first_count_by_target = self._first_count_by_target, Counter()
        return counts

    def record_figure(
        self, target: TargetId, requests: float, slowdown: float, observed_at: float
    ) -> bool:
        """Record a figure on a target, of its own response or forwarded.

        :param target: The target.
        :param requests: Requests at the target.
        :param slowdown: Time that work takes there, as a multiple of the usual.
        :param observed_at: Time of the response that carried it, in seconds.
        :return: Whether it is the newest.
        """
        figure = self.figure_by_target.get(target)
        if figure is None:
            figure = self.figure_by_target[target] = LoadFigure()
        return figure.record(requests, slowdown, observed_at)

    def record_outcome(
        self,
        target: RoutableTarget,
        outcome: AttemptOutcome,
        reported: ReportedLoad | None,
        now: float,
    ) -> None:
        """Record what the outcome of an attempt tells of the load of a target.

        :param target: The target.
        :param outcome: Outcome of the attempt.
        :param reported: Load that the target reported; ``None`` if it reported none.
        :param now: The present time, in seconds.
        """
        if reported is not None:
            requests = float(reported.running + reported.waiting)
            self.record_figure(target.id, requests, reported.slowdown, now)
        elif outcome is AttemptOutcome.SHED:
            full = target.slots * (1 + const.MAX_QUEUE_FACTOR)
            self.record_figure(target.id, full, 1.0, now)

    def record_use(
        self,
        service: ServiceName,
        loads: Iterable[TargetLoad],
        service_s: float,
        now: float,
    ) -> None:
        """Derive the mean use of the targets of a service.

        :param service: The service.
        :param loads: Its targets.
        :param service_s: Mean service time, in seconds.
        :param now: The present time, in seconds.
        """
        use = self._use_by_service[service]
        requests = known_slots = 0.0
        for load in loads:
            figure = self.figure_by_target.get(load.target.id)
            if figure is not None and figure.is_recent(now):
                known_slots += load.target.slots
                longest = load.target.slots * (1 + const.MAX_QUEUE_FACTOR)
                requests += min(figure.mean_requests, longest)
        use.utilization = requests / known_slots if known_slots else 0.0
        use.service_s = service_s

    def estimated_requests(self, load: TargetLoad, now: float) -> float:
        """Return the estimated number of requests at a target.

        :param load: The target.
        :param now: The present time, in seconds.
        """
        use = self._use_by_service[load.target.service]
        figure = self.figure_by_target.get(load.target.id)
        if figure is None or not figure.is_recent(now):
            return load.pending_requests + use.utilization * load.target.slots
        usual_requests = use.utilization * load.target.slots
        estimated = figure.estimated_requests(usual_requests, use.service_s, now)
        longest = load.target.slots * (1 + const.MAX_QUEUE_FACTOR)
        return max(
            float(load.pending_requests),
            min(longest, estimated) + load.pending_since(figure.observed_at),
        )

    def slowdown_factor(self, load: TargetLoad, now: float) -> float:
        """Return the expected slowdown of a target's machine.

        :param load: The target.
        :param now: The present time, in seconds.
        """
        figure = self.figure_by_target.get(load.target.id)
        return 1.0 if figure is None else figure.slowdown_factor(now)

    def order(self, usable: Sequence[TargetLoad], now: float) -> list[TargetLoad]:
        """Return targets to compare for a request without an object, best first.

        Answers the load of dozens of instances that choose at the same moment by the
        same old figures: each sends to a few targets of its own in turn.

        :param usable: Targets that may get the request.
        :param now: The present time, in seconds.
        """
        own = sorted(self.own_part(usable), key=lambda load: self._turn(load.target))
        if not own:
            return []
        if self._is_overdue(own[0]):
            # It was passed over for its figures. They may be wrong, and only its
            # responses can tell, so it is compared as a usual target.
            self._forget_figure(own[0].target)
            return own
        if any(
            self._utilization(load, now) < const.CROWDED_UTILIZATION for load in own
        ):
            return own
        # Most of the others are less crowded. One at random is compared, as the one of
        # the least figure would be taken by all instances.
        return [*own[:2], self.random.choice(usable)]

    def own_part(self, usable: Sequence[TargetLoad]) -> Sequence[TargetLoad]:
        """Return the targets that this instance usually sends such requests to.

        Its requests to each of a few targets are so frequent that it can space them
        evenly. The parts of all instances of the region contain each target equally
        often.

        :param usable: Targets that may get the request.
        """
        index, instances = self.position
        size = max(
            const.PART_SIZE, math.ceil(len(usable) * const.PART_SIZE / instances)
        )
        if size >= len(usable):
            return usable
        ring = sorted(usable, key=lambda load: self._ring_position(load.target.id))
        # Neighbours on the ring: targets at equal distances would repeat the parts of
        # other instances and leave targets out.
        start = index * len(ring) // instances
        return [ring[(start + number) % len(ring)] for number in range(size)]

    def _ring_position(self, target: TargetId) -> int:
        held = self._ring_position_by_target.get(target)
        if held is None:
            held = self._ring_position_by_target[target] = hash_text(target)
        return held

    def _turn(self, target: RoutableTarget) -> float:
        return self._turn_by_target.get(target.id, 0.0)

    def _forget_figure(self, target: RoutableTarget) -> None:
        figure = self.figure_by_target.get(target.id)
        if figure is not None:
            use = self._use_by_service[target.service]
            figure.requests = figure.mean_requests = use.utilization * target.slots
            figure.slowdown = 1.0

    def _is_overdue(self, load: TargetLoad) -> bool:
        """Whether a target lags so far behind that it gets a request in any case.

        :param load: The target.
        """
        newest = self._newest_turn_by_service.get(load.target.service, 0.0)
        return (
            newest - self._turn(load.target) >= const.MAX_TURN_LAG
            and load.pending_requests < load.target.slots
        )

    def _utilization(self, load: TargetLoad, now: float) -> float:
        requests = self.estimated_requests(load, now) / load.target.slots
        return requests * self.slowdown_factor(load, now)

    def record_choice(self, load: TargetLoad, now: float) -> None:
        """Record that a request without an object goes to a target.

        The next turn of a target comes the sooner, the more slots it has and the less
        it is used by the figures of all instances.

        :param load: The target.
        :param now: The present time, in seconds.
        """
        target = load.target
        mean = self._use_by_service[target.service].utilization
        figure = self.figure_by_target.get(target.id)
        interval = 1.0 / target.slots
        if figure is not None and figure.is_recent(now) and mean > 0.0:
            use = figure.mean_requests / target.slots / mean
            interval *= min(const.MAX_TURN_WEIGHT, max(1 / const.MAX_TURN_WEIGHT, use))
        newest = self._newest_turn_by_service.get(target.service, 0.0)
        turn = max(self._turn(target), newest - const.MAX_TURN_LAG)
        self._newest_turn_by_service[target.service] = max(newest, turn)
        self._turn_by_target[target.id] = turn + interval

    def count_first(self, target: TargetId) -> None:
        """Count a request for an object.

        :param target: First target of the object.
        """
        self._first_count_by_target[target] += 1

    def order_for_object(
        self, ranked: list[TargetLoad], request: PlacementRequest
    ) -> list[TargetLoad]:
        """Return targets to compare for an object; its second one first if it is moved.

        Answers objects that are distributed unevenly, and some that are requested more
        often than others.

        :param ranked: Targets in the order of the object's hashes.
        :param request: The request.
        """
        if len(ranked) < 2:
            return ranked
        first, second, *others = ranked
        if not request.excluded:
            self.count_first(first.target.id)
        share = self.moved_share_by_target.get(first.target.id, 0.0)
        if share > 0.0:
            position = hash_text(f"{request.affinity_key}/moved") / HASH_RANGE
            if position < share:
                first, second = second, first
        return [first, second, *others]


def moved_shares(
    slots_by_target: Mapping[TargetId, float], demand: Mapping[TargetId, float]
) -> dict[TargetId, float]:
    """Return the share of its objects that each target of a service gives to others.

    It is what exceeds a multiple of the mean demand, so the same demand gives the same
    shares at all entry instances.

    :param slots_by_target: Slots of the targets of the service.
    :param demand: Requests for objects whose first target it is, by target.
    """
    total = sum(demand.get(target, 0.0) for target in slots_by_target)
    if total < const.MIN_DEMAND_PER_TARGET * len(slots_by_target):
        return {}
    per_slot = total / sum(slots_by_target.values())
    shares = {}
    for target, slots in slots_by_target.items():
        bound = per_slot * slots * const.MAX_FIRST_DEMAND
        wanted = demand.get(target, 0.0)
        if wanted > bound:
            shares[target] = 1.0 - bound / wanted
    return shares
