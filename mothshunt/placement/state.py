"""Choice of a target: pure decisions on what one entry instance knows.

Requests for the same object go to the same target, from every entry instance, as long
as the target has room: it answers sooner for what it handled before. Rendezvous hashing
ranks the targets for an object, so a target that comes or goes moves only its own
objects. All regions share the targets where the way between them is short, else all
availability zones of a region do: what the callers of one place ask for, those of the
others ask for as well.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from random import Random

from expression import Error, Ok, Result

from mothshunt.core.codes import Failure, ResultCode
from mothshunt.core.types import AvailabilityZoneId, RegionId, ServiceName, TargetId
from mothshunt.helpers.log_events import PlacementReport, TargetBelieved
from mothshunt.placement import codes, const
from mothshunt.placement.model import (
    AttemptOutcome,
    Belief,
    Choice,
    PlacedTarget,
    PlacementRequest,
    ReportedLoad,
    TargetNotice,
)
from mothshunt.placement.service_targets import (
    Estimate,
    RegionByZone,
    Ring,
    ServiceTargets,
    Tally,
    load_by_region,
)
from mothshunt.placement.service_time import ServiceTime
from mothshunt.placement.spill import Spill, choose_region, plan_flow
from mothshunt.placement.spread import Spread
from mothshunt.placement.target_load import TargetLoad
from mothshunt.placement.withheld import WithheldTargets
from mothshunt.util.hashing import HASH_RANGE, hash_text

DemandByZone = Mapping[ServiceName, Mapping[AvailabilityZoneId, float]]


def all_of_limit(zone: AvailabilityZoneId, now: float) -> float:
    """Return the part of a limit that the only entry instance may use."""
    return 1.0


@dataclass(kw_only=True, slots=True)
class Placement:
    """Choose targets for the requests of one entry instance.

    :param zone: Availability zone of this instance.
    :param region: Region of this instance.
    :param max_region_shift: Part of a region's requests that may change region from
        one window to the next.
    :param renewal_interval_s: Time between two renewals of a target, in seconds.
    :param random: Spreads requests without an object and times to come back.
    :param cold_part: Returns the part of the limits of a zone's cold targets that this
        instance may use at a time; all of it while it is the only one.
    :param load_by_target: What is known of each target that requests may be sent to.
    :param withheld: Targets that asked for nothing more, for a while or for good.
    """

    zone: AvailabilityZoneId
    region: RegionId
    max_region_shift: float
    renewal_interval_s: float
    random: Random
    cold_part: Callable[[AvailabilityZoneId, float], float] = all_of_limit
    load_by_target: dict[TargetId, TargetLoad] = field(default_factory=dict)
    withheld: WithheldTargets = field(default_factory=WithheldTargets)
    _targets_by_service: dict[ServiceName, ServiceTargets] = field(default_factory=dict)
    _cold_limit_by_target: Mapping[TargetId, float] = field(default_factory=dict)
    _newest_heard_at: float = float("-inf")

    def replace_targets(
        self,
        loads: Iterable[TargetLoad],
        cold_limit_by_target: Mapping[TargetId, float],
    ) -> None:
        """Use these targets from now on.

        :param loads: Targets that requests may be sent to; those known before are the
            same objects.
        :param cold_limit_by_target: Requests that each gets at most in any second while
            it is cold, from all entry instances together.
        """
        self.load_by_target = {load.target.id: load for load in loads}
        self._cold_limit_by_target = cold_limit_by_target
        before, self._targets_by_service = self._targets_by_service, {}
        for load in self.load_by_target.values():
            service = load.target.service
            targets = self._targets_by_service.get(service)
            if targets is None:
                held = before.get(service)
                targets = ServiceTargets(
                    held.spread if held else Spread(self.max_region_shift),
                    held.spill if held else Spill(self.max_region_shift),
                    held.times if held else ServiceTime(),
                    held.tally if held else Tally(),
                )
                self._targets_by_service[service] = targets
            load.service_time = targets.times
            self._ring(targets, load).append(load)

    def _ring(self, targets: ServiceTargets, load: TargetLoad) -> list[TargetLoad]:
        if load.target.region == self.region:
            return targets.in_region
        return targets.beyond

    def heard(self, newest_heard_at: float) -> None:
        """Note the time of the newest renewal of any target.

        :param newest_heard_at: That time, in seconds.
        """
        self._newest_heard_at = newest_heard_at

    def choose(self, request: PlacementRequest, now: float) -> Result[Choice, Failure]:
        """Choose a target and take room at it.

        :param request: What the choice depends on.
        :param now: The present time, in seconds.
        :return: The choice; or a failure with code 2901 to 2903 that says when to come
            back.
        """
        targets = self._targets_by_service.get(request.service)
        if targets is None:
            return Error(self._refusal(codes.NO_TARGETS, const.MAX_RETRY_AFTER_S))
        if not request.excluded:
            targets.spread.ask(request.target_latency_s)
        usable_by_ring = self._usable_by_ring(targets, request, now)
        best: Estimate | None = None
        for ring in self._rings(targets, usable_by_ring, request):
            usable = usable_by_ring[ring]
            if ring is Ring.BEYOND:
                usable = self._in_chosen_region(targets.spill, usable, request)
            ranked = self._ranked(usable, request)[: const.COMPARED_TARGETS]
            for rank, load in enumerate(ranked):
                found = self._estimate(targets, load, request, now)
                found.reason = f"{ring.value}-{rank}"
                if best is None or found.is_better_than(best):
                    best = found
            if best is not None and best.queued_part <= const.CROWDED_PART:
                break
        if best is None:
            pause_s = self.pause_left_s(request, now)
            if pause_s is not None:
                return Error(self._pause_refusal(pause_s))
            return Error(self._refusal(codes.NO_TARGETS, const.DOWN_MIN_S))
        if not self._is_worthwhile(best, request):
            wait_s = best.total_s - request.target_latency_s
            targets.tally.refused += 1
            return Error(self._refusal(codes.NO_ROOM, wait_s))
        choice = best.load.take(
            now, best.reason, request.affinity_key, best.expected_s, best.usual_s
        )
        targets.tally.count(choice)
        return Ok(choice)

    def _usable_by_ring(
        self, targets: ServiceTargets, request: PlacementRequest, now: float
    ) -> dict[Ring, list[TargetLoad]]:
        """Return the targets that may get a request, by their distance.

        Targets that fail often are passed over only while they are few: what all of
        them do is not made better by sending everything to some.
        """
        usable = {
            ring: [load for load in loads if self._is_usable(load, request, now)]
            for ring, loads in targets.loads_by_ring().items()
        }
        sound = {
            ring: [load for load in loads if not load.is_failing(now)]
            for ring, loads in usable.items()
        }
        count = len(usable[Ring.ALL])
        sound_count = len(sound[Ring.ALL])
        return sound if sound_count >= count * const.SOUND_PART else usable

    def _estimate(
        self,
        targets: ServiceTargets,
        load: TargetLoad,
        request: PlacementRequest,
        now: float,
    ) -> Estimate:
        """Estimate when a target would answer."""
        latency_s = request.target_latency_s
        times = targets.times
        is_known = request.affinity_key is None or load.knows(request.affinity_key)
        expected_s = times.expected_s(is_known=is_known, target_latency_s=latency_s)
        unknown_s = times.expected_s(is_known=False, target_latency_s=latency_s)
        slots = load.target.slots
        queued = max(0.0, load.load(now) + 1 - slots)
        wait_s = queued / slots * times.usual_s(latency_s) * load.slowness
        return Estimate(
            load=load,
            queued_part=queued / slots,
            is_known=is_known,
            expected_s=expected_s,
            total_s=wait_s + expected_s * load.slowness,
            usual_s=wait_s + max(expected_s, unknown_s) * load.slowness,
        )

    def _is_worthwhile(self, best: Estimate, request: PlacementRequest) -> bool:
        """Tell whether a request is sent: in time, or late where few wait for it."""
        if best.queued_part == 0.0:
            return True
        if best.queued_part > const.MAX_QUEUE_FACTOR:
            return False
        if best.total_s <= request.target_latency_s:
            return True
        is_in_time = best.total_s <= request.time_left_s
        return is_in_time and best.queued_part <= const.LATE_QUEUE_FACTOR

    def _rings(
        self,
        targets: ServiceTargets,
        usable_by_ring: Mapping[Ring, list[TargetLoad]],
        request: PlacementRequest,
    ) -> tuple[Ring, ...]:
        """Return the distances to try, in order.

        An object is always in the same part, so that it stays with its target while
        the part changes little. Objects that are not spread go to other regions only
        in the part that is to leave, and all do when the own region has no target that
        may be used.
        """
        position = self._position(request)
        spread_part = targets.spread.part
        if request.affinity_key is not None and position < spread_part:
            return (Ring.ALL,)
        if not usable_by_ring[Ring.REGION]:
            return (Ring.BEYOND,)
        if request.affinity_key is not None:
            position = (position - spread_part) / max(1e-9, 1.0 - spread_part)
        if position < targets.spill.region_part:
            return (Ring.BEYOND, Ring.REGION)
        return (Ring.REGION,)

    def _in_chosen_region(
        self,
        spill: Spill,
        usable: list[TargetLoad],
        request: PlacementRequest,
    ) -> list[TargetLoad]:
        """Return the targets of one other region, chosen by the room that each has."""
        weight_by_region = {
            load.target.region: spill.room_by_region.get(load.target.region, 0.0)
            for load in usable
        }
        key = request.affinity_key or str(self.random.random())
        chosen = choose_region(key, weight_by_region)
        if chosen is None:
            return usable
        return [load for load in usable if load.target.region == chosen]

    def _position(self, request: PlacementRequest) -> float:
        if request.affinity_key is None:
            return self.random.random()
        key = f"{request.service}/{request.affinity_key}"
        return hash_text(key) / HASH_RANGE

    def _ranked(
        self, usable: list[TargetLoad], request: PlacementRequest
    ) -> list[TargetLoad]:
        key = request.affinity_key
        if key is None:
            self.random.shuffle(usable)
            return sorted(usable, key=self._load_and_distance)
        return sorted(
            usable,
            key=lambda load: hash_text(f"{load.target.id}/{key}"),
            reverse=True,
        )

    def _load_and_distance(self, load: TargetLoad) -> tuple[float, bool]:
        share = load.open_requests / load.target.slots
        return share, load.target.availability_zone != self.zone

    def _is_usable(
        self, load: TargetLoad, request: PlacementRequest, now: float
    ) -> bool:
        target = load.target
        if target.id in request.excluded or load.is_misplaced:
            return False
        if not _is_at_home(target, request) or self._is_paused(target, now):
            return False
        if now < load.down_until or load.is_silent(now):
            return False
        if load.is_cold(now):
            limit = self._cold_limit_by_target.get(target.id, 0.0)
            part = self.cold_part(target.availability_zone, now)
            if not load.cold_room(limit * const.COLD_SAFETY * part, now):
                return False
        return not self._is_late(load) or load.answered_lately(now)

    def _is_late(self, load: TargetLoad) -> bool:
        missed_s = self._newest_heard_at - load.heard_at
        return missed_s > const.RENEWALS_MISSED * self.renewal_interval_s

    def _is_paused(self, target: PlacedTarget, now: float) -> bool:
        return now < self.withheld.paused_until(target)

    def pause_left_s(self, request: PlacementRequest, now: float) -> float | None:
        """Return the time until the first target wants requests again, in seconds.

        :param request: What is asked for.
        :param now: The present time, in seconds.
        :return: The time; ``None`` where a target of the service asked for no pause.
        """
        targets = self._targets_by_service.get(request.service)
        if targets is None:
            return None
        ends = [
            self.withheld.paused_until(load.target)
            for load in targets.all_targets()
            if _is_at_home(load.target, request)
        ]
        first = min(ends, default=now)
        return first - now if first > now else None

    def _refusal(self, code: ResultCode, wait_s: float) -> Failure:
        wait_s = min(const.MAX_RETRY_AFTER_S, max(const.MIN_RETRY_AFTER_S, wait_s))
        return Failure(code=code, retry_after_s=wait_s * self._retry_spread())

    def _pause_refusal(self, pause_s: float) -> Failure:
        # Not bounded: nothing can be served sooner, as far as is known here.
        wait_s = max(const.MIN_RETRY_AFTER_S, pause_s) * self._retry_spread()
        return Failure(code=codes.TARGETS_PAUSED, retry_after_s=wait_s)

    def _retry_spread(self) -> float:
        return 1.0 + self.random.random() * const.RETRY_AFTER_SPREAD

    def note(self, target: PlacedTarget, notice: TargetNotice, now: float) -> bool:
        """Take what a target asked for with an answer; see ``WithheldTargets.note``.

        :param target: The target, as it was when the request was sent.
        :param notice: What it asked for.
        :param now: The present time, in seconds.
        """
        return self.withheld.note(target, notice, now)

    def finish(
        self,
        choice: Choice,
        outcome: AttemptOutcome,
        reported: ReportedLoad | None,
        now: float,
    ) -> None:
        """Give room back and learn from the outcome.

        :param choice: What ``choose`` returned; finished once.
        :param outcome: How the attempt ended.
        :param reported: What the target said of its load.
        :param now: The present time, in seconds.
        """
        load = self.load_by_target.get(choice.target.id)
        if load is None:
            return
        load.ended(choice, outcome, reported, now)
        targets = self._targets_by_service.get(choice.target.service)
        is_far = choice.target.region != self.region
        has_waited = choice.load > choice.target.slots
        if outcome is not AttemptOutcome.ANSWERED or targets is None or has_waited:
            return
        if choice.is_known:
            targets.spread.learn(now - choice.sent_at, is_far=is_far)

    def frequent_far_targets(
        self,
        demand: Mapping[ServiceName, float],
        max_connections: Mapping[ServiceName, int],
        entries: int,
        now: float,
    ) -> Iterator[PlacedTarget]:
        """Return the targets of other regions to which a connection should be ready.

        Opening one takes a round trip between regions, which the first request would
        have to wait for.

        :param demand: Requests a second by service, at this instance.
        :param max_connections: Connections that a target takes, by service.
        :param entries: Entry instances that may be sending.
        :param now: The present time, in seconds.
        """
        for service, targets in self._targets_by_service.items():
            if targets.spread.part == 0.0 and targets.spill.region_part == 0.0:
                continue
            count = len(targets.in_region) + len(targets.beyond)
            uses = demand.get(service, 0.0) * const.CONNECTION_USED_WITHIN_S / count
            most = max_connections.get(service, 0) * const.READY_CONNECTIONS_PART
            if uses < 1.0 or entries > most or not targets.spread.is_way_felt():
                continue
            for load in targets.beyond:
                if self._present_belief(load, now) is Belief.SOUND:
                    yield load.target

    def _present_belief(self, load: TargetLoad, now: float) -> Belief:
        if self._is_paused(load.target, now):
            return Belief.PAUSED
        return load.present_belief(now, is_late=self._is_late(load))

    def changed_beliefs(self, now: float) -> Iterator[TargetBelieved]:
        """Return the targets that are taken for something else than last time.

        :param now: The present time, in seconds.
        """
        for load in self.load_by_target.values():
            before = load.belief
            load.belief = self._present_belief(load, now)
            if load.belief is before:
                continue
            yield TargetBelieved(
                target=load.target.id,
                service=load.target.service,
                belief=load.belief.value,
                before=before.value,
                failure_share=round(load.failure_share, 2),
                slowness=round(load.slowness, 1),
                renewal_age_ms=round((now - load.heard_at) * 1000),
            )

    def reports(self) -> Iterator[PlacementReport]:
        """Return what was chosen for each service since the last call, for the logs."""
        for service, targets in self._targets_by_service.items():
            tally, targets.tally = targets.tally, Tally()
            if not tally.chosen and not tally.refused:
                continue
            spill, times = targets.spill, targets.times
            yield PlacementReport(
                service=service,
                chosen=tally.chosen,
                refused=tally.refused,
                known=tally.known,
                by_ring=tally.count_by_reason,
                spread_part=round(targets.spread.part, 3),
                region_part=round(spill.region_part, 3),
                known_ms=round(times.known_s * 1000),
                unknown_ms=round(times.unknown_s * 1000),
                mean_ms=round(times.mean_s * 1000),
                targets=sum(1 for _ in targets.all_targets()),
            )

    def adjust(self, demand: DemandByZone, region_by_zone: RegionByZone) -> None:
        """Adjust the part that leaves the region; called each interval.

        :param demand: Requests a second for each service, by availability zone.
        :param region_by_zone: Regions of the availability zones.
        """
        for service, targets in self._targets_by_service.items():
            demand_by_zone = demand.get(service, {})
            has_traffic = demand_by_zone.get(self.zone, 0.0) > 0
            targets.spread.follow(has_traffic=has_traffic)
            by_region = load_by_region(targets, demand_by_zone, region_by_zone)
            targets.spill.follow(
                plan_flow(by_region, self.region), has_traffic=has_traffic
            )


def _is_at_home(target: PlacedTarget, request: PlacementRequest) -> bool:
    return not request.home_regions or target.region in request.home_regions
