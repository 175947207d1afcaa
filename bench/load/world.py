"""Callers, entries and targets of one scenario, in emulated time."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from expression import Result

from bench.load.arrivals import Arrival, arrivals
from bench.load.deciders import DECIDERS, Decider, EvenDecider, ProductDecider
from bench.load.limits import EmulatedControl, EntryLimits, LimitedSpan
from bench.load.overload import EmulatedSums
from bench.load.report import Ending, Figures, Outcome
from bench.load.scenario import EventKind, EventPlan, Scenario
from bench.load.sharing import EmulatedSharing, SharingEntry
from bench.load.spread import SAMPLE_INTERVAL_S
from bench.load.targets import EmulatedTarget, Job
from bench.timeline import Timeline
from mothshunt.core.codes import Failure
from mothshunt.core.types import (
    AvailabilityZoneId,
    Incarnation,
    Ran,
    ServiceName,
    TargetId,
)
from mothshunt.forwarding import const as forwarding_const
from mothshunt.forwarding.retry import RetryBudget, RetryState
from mothshunt.placement.const import ADJUST_INTERVAL_S
from mothshunt.placement.model import (
    AttemptOutcome,
    Choice,
    PlacementRequest,
    ReportedLoad,
    RoutableTarget,
)
from mothshunt.rate_limit.model import RateLimit, TokenDecision

#: Weight of a new measurement of the demand, each interval.
DEMAND_WEIGHT = 0.25
RETRY_WINDOW_S = 10.0
#: Time for which a machine is slow at a time, in seconds.
FLICKER_S = 0.6
#: Part of the time left for which callers honour a time to come back.
RETURN_PART = 1 / 3


@dataclass(slots=True, eq=False)
class Entry:
    """One entry instance.

    :param zone: Where it runs.
    :param decider: Chooses targets.
    :param budget: Attempts beyond the first.
    :param limits: Rate limits that it knows.
    :param is_up: Whether it takes requests.
    """

    zone: AvailabilityZoneId
    decider: Decider
    budget: RetryBudget
    limits: EntryLimits
    is_up: bool = True


@dataclass(slots=True, eq=False)
class Try:
    """One request of a caller at an entry.

    :param arrival: What the caller wants.
    :param entry: The entry.
    :param began_at: Time at which the entry got it, in seconds.
    :param returns: Times that the caller has come back.
    :param retry_state: Attempts at targets.
    :param excluded: Targets that are not to be tried again.
    :param sends: Attempts at each target.
    :param denied: Targets that it got no token for.
    """

    arrival: Arrival
    entry: Entry
    began_at: float
    returns: int
    retry_state: RetryState
    excluded: frozenset[TargetId] = frozenset()
    sends: dict[TargetId, int] = field(default_factory=dict)
    denied: frozenset[TargetId] = frozenset()


class World:
    """Play a scenario with one way to choose targets.

    :param scenario: The scenario.
    :param decider: Name of the way.
    """

    def __init__(self, scenario: Scenario, decider: str) -> None:
        self.scenario = scenario
        self.figures = Figures()
        self.targets: dict[TargetId, EmulatedTarget] = {}
        self.entries: list[Entry] = []
        self.limited_spans: list[LimitedSpan] = []
        self._control = EmulatedControl(scenario)
        self._sums = EmulatedSums(scenario)
        self._make_decider = DECIDERS[decider]
        self._random = Random(scenario.seed + 1)
        self._timeline = Timeline(0.0)
        self.sharing = EmulatedSharing(
            scenario, self._timeline, self._control.zone_by_control
        )
        self._asked: dict[tuple[ServiceName, AvailabilityZoneId], int] = defaultdict(
            int
        )
        self._demand: dict[ServiceName, dict[AvailabilityZoneId, float]] = {}

    @classmethod
    def from_scenario(cls, scenario: Scenario, decider: str) -> "World":
        """Build the targets and entries of a scenario.

        :param scenario: The scenario.
        :param decider: Name of the way to choose targets.
        """
        world = cls(scenario, decider)
        world._build_targets()
        for zone in scenario.entry_zones:
            world.entries.append(world._new_entry(zone))
        for entry in world.entries:
            if isinstance(entry.decider, EvenDecider):
                region = scenario.region_by_zone[entry.zone]
                peers = [
                    e
                    for e in world.entries
                    if scenario.region_by_zone[e.zone] == region
                ]
                entry.decider.loads.even_load.position = (
                    peers.index(entry),
                    len(peers),
                )
        return world

    def _build_targets(self) -> None:
        region_by_zone = self.scenario.region_by_zone
        for plan in self.scenario.services:
            placed_in = _zones_of_targets(self.scenario, plan.targets)
            for number in range(plan.targets):
                zone = placed_in[number]
                target_id = TargetId(f"{plan.name}-{number}")
                spread = plan.speed_spread
                self.targets[target_id] = EmulatedTarget(
                    placed=RoutableTarget(
                        id=target_id,
                        incarnation=Incarnation(1),
                        service=plan.name,
                        host="10.0.0.1",
                        port=number + 1,
                        region=region_by_zone[zone],
                        availability_zone=zone,
                        slots=plan.slots,
                    ),
                    plan=plan,
                    speed=self._random.uniform(1 - spread, 1 + spread),
                    after=self._timeline.after,
                    random=self._random,
                )

    def _new_entry(self, zone: AvailabilityZoneId) -> Entry:
        random = Random(self._random.random())
        entry = Entry(
            zone=zone,
            decider=self._make_decider(self.scenario, zone, random),
            budget=RetryBudget(
                ratio=self.scenario.retry_ratio,
                slack=self.scenario.retry_slack,
                window_s=RETRY_WINDOW_S,
            ),
            limits=EntryLimits(self._control.nearest(self.scenario, zone)),
        )
        entry.decider.follow_limits(entry.limits)
        if isinstance(entry.decider, EvenDecider):
            self.sharing.add(
                SharingEntry(zone, entry.decider.loads, entry.limits.controls),
                random.random(),
            )
        self._tell_targets(entry)
        return entry

    @property
    def timeline(self) -> Timeline:
        """Events in emulated time."""
        return self._timeline

    @property
    def levels(self) -> list[tuple[float, dict[str, dict[int, float]]]]:
        """Admission levels of the first entry instance over time, by service."""
        return self._sums.levels

    def _tell_targets(self, entry: Entry) -> None:
        placed = (target.placed for target in self.targets.values() if target.is_up)
        entry.decider.replace_targets(placed, self._timeline.now)

    def play(self) -> Figures:
        """Play to the end and return what was measured."""
        drawn = arrivals(self.scenario)
        for arrival in drawn:
            self._timeline.at(arrival.at, partial(self._ask, arrival, 0))
        for event in self.scenario.events:
            self._timeline.at(event.at, partial(self._begin, event))
        self._timeline.after(ADJUST_INTERVAL_S, self._adjust)
        self._sums.start(self)
        self._timeline.after(SAMPLE_INTERVAL_S, self._sample)
        self.sharing.start()
        longest_s = max(kind.deadline_ms for kind in self.scenario.kinds) / 1000
        self._timeline.run_until(self.scenario.seconds + longest_s)
        self.figures.asked = len(drawn)
        return self.figures

    def after(self, delay_s: float, event: Callable[[], None]) -> None:
        """Run an event in emulated time.

        :param delay_s: Seconds from now.
        :param event: What to run.
        """
        self._timeline.after(delay_s, event)

    def _sample(self) -> None:
        now = self._timeline.now
        self.figures.spread.sample(self.targets.values(), now)
        if now < self.scenario.seconds:
            self._timeline.after(SAMPLE_INTERVAL_S, self._sample)

    def _adjust(self) -> None:
        for (service, zone), count in self._asked.items():
            by_zone = self._demand.setdefault(service, {})
            per_s = count / ADJUST_INTERVAL_S
            held = by_zone.get(zone, per_s)
            by_zone[zone] = held + DEMAND_WEIGHT * (per_s - held)
        for key in self._asked:
            self._asked[key] = 0
        for entry in self.entries:
            self._tell_targets(entry)
            entry.decider.adjust(self._demand, self.scenario.region_by_zone)
        if self._timeline.now < self.scenario.seconds:
            self._timeline.after(ADJUST_INTERVAL_S, self._adjust)

    # What happens

    def _begin(self, event: EventPlan) -> None:
        if event.kind is EventKind.RESTART_ENTRIES:
            self._restart_entries(event)
        elif event.kind is EventKind.FLICKER:
            self._flicker(event)
        elif event.kind in (
            EventKind.SHED,
            EventKind.SLOW,
            EventKind.LIMIT,
            EventKind.RESTART_TARGETS,
            EventKind.CUT_TARGETS,
        ):
            self._meet_targets(event)

    def _flicker(self, event: EventPlan) -> None:
        targets = list(self.targets.values())
        slow = set()
        if event.holds(self._timeline.now):
            slow = set(self._random.sample(targets, round(len(targets) * event.share)))
            self._timeline.after(FLICKER_S, partial(self._flicker, event))
        for target in targets:
            target.flicker = event.x if target in slow else 1.0

    def _meet_targets(self, event: EventPlan) -> None:
        near = [
            target
            for target in self.targets.values()
            if event.zone in (None, target.placed.availability_zone)
        ]
        met = self._random.sample(near, round(len(near) * event.share))
        for target in met:
            if event.kind is EventKind.SHED:
                target.shed_part = event.x
            elif event.kind is EventKind.SLOW:
                target.slowness = event.x
            elif event.kind is EventKind.LIMIT:
                now = self._timeline.now
                target.limited = LimitedSpan(
                    per_s=event.x, since=now, until=now + event.for_s
                )
                self.limited_spans.append(target.limited)
            elif event.kind is EventKind.CUT_TARGETS:
                target.is_up = False
            else:
                target.stop()

        def end() -> None:
            for target in met:
                target.shed_part, target.slowness, target.is_up = 0.0, 1.0, True
                target.limited = None

        self._timeline.after(event.for_s, end)

    def _restart_entries(self, event: EventPlan) -> None:
        met = self._random.sample(self.entries, round(len(self.entries) * event.share))
        for entry in met:
            entry.is_up = False

        def end() -> None:
            for entry in met:
                fresh = self._new_entry(entry.zone)
                self.entries[self.entries.index(entry)] = fresh

        self._timeline.after(event.for_s, end)

    # The way of a request

    def _ask(self, arrival: Arrival, returns: int) -> None:
        near = [e for e in self.entries if e.is_up and e.zone == arrival.zone]
        entries = near or [e for e in self.entries if e.is_up]
        if not entries:
            self._end(arrival, Outcome.FAILED)
            return
        entry = self._random.choice(entries)
        delay_s = self.scenario.caller_ms / 1000
        delay_s += self.scenario.delay_s(arrival.zone, entry.zone)

        def arrive() -> None:
            self._asked[(arrival.kind.service, entry.zone)] += 1
            now = self._timeline.now
            entry.budget.count_request(arrival.kind.service, now)
            retry_state = RetryState(
                is_idempotent=arrival.kind.idempotent,
                max_attempts=arrival.kind.max_attempts,
            )
            self._attempt(Try(arrival, entry, now, returns, retry_state))

        self._timeline.after(delay_s, arrive)

    def _attempt(self, asked: Try) -> None:
        now = self._timeline.now
        kind = asked.arrival.kind
        latency_s = kind.target_latency_ms / 1000 - (now - asked.began_at)
        request = PlacementRequest(
            service=kind.service,
            affinity_key=asked.arrival.key,
            target_latency_s=max(0.0, latency_s),
            time_left_s=self._left_s(asked.arrival),
            excluded=asked.excluded | asked.denied,
            accepts_limited=len(asked.denied) < forwarding_const.MAX_TOKEN_REQUESTS,
            urgency=kind.priority,
            workspace=asked.arrival.workspace,
        )
        match asked.entry.decider.choose(request, now):
            case Result(tag="ok", ok=choice):
                self._send_with_token(asked, choice)
            case Result(error=failure):
                self._refuse(asked, failure)

    def _left_s(self, arrival: Arrival) -> float:
        return arrival.at + arrival.kind.deadline_ms / 1000 - self._timeline.now

    def _send_with_token(self, asked: Try, choice: Choice) -> None:
        """Send a request, to a limited target only with a token."""
        entry, target, now = asked.entry, choice.target, self._timeline.now
        is_limited = entry.limits.limit_per_s(target) is not None
        if not is_limited or not isinstance(entry.decider, ProductDecider):
            self._send(asked, choice)
            return
        sources, controls = entry.limits.sources, entry.limits.controls
        control = sources.choose_control(target.id, controls, now)
        if control is None:
            self._pass_over(asked, choice)
            return
        way_s = self.scenario.delay_s(
            entry.zone, self._control.zone_by_control[control]
        )

        def decide() -> None:
            decision = self._control.take(control, target.id, self._timeline.now)
            self._timeline.after(way_s, partial(come_back, decision))

        def come_back(decision: TokenDecision) -> None:
            if decision.is_granted:
                choice.sent_at = self._timeline.now
                self._send(asked, choice)
                return
            retry_at = self._timeline.now + decision.retry_after_s
            sources.record_denial(target.id, control, retry_at)
            self._pass_over(asked, choice)

        self._timeline.after(way_s, decide)

    def _pass_over(self, asked: Try, choice: Choice) -> None:
        """Choose another target, as there is no token for the chosen one."""
        outcome, now = AttemptOutcome.CANCELLED, self._timeline.now
        asked.entry.decider.finish(choice, outcome, None, now)
        asked.denied |= {choice.target.id}
        self._attempt(asked)

    def _learn_limit(self, entry: Entry, target: EmulatedTarget) -> None:
        """Let an entry instance hear of a limit in a response, and tell the others."""
        now, placed = self._timeline.now, target.placed
        per_s = None if target.limited is None else target.limited.per_s
        if entry.limits.limit_per_s(placed) == per_s:
            return
        limit = RateLimit(incarnation=placed.incarnation, per_s=per_s, observed_at=now)
        entry.limits.limits.record(placed.id, limit)

        def tell() -> None:
            self._control.learn(placed.id, limit, self._timeline.now)
            for other in self.entries:
                other.limits.limits.record(placed.id, limit)

        self._timeline.after(2 * self.scenario.region_ms / 1000, tell)

    def _send(self, asked: Try, choice: Choice) -> None:
        target = self.targets[choice.target.id]
        zone = choice.target.availability_zone
        way_s = self.scenario.delay_s(asked.entry.zone, zone)
        ended = False

        def answered(has_run: bool, load: ReportedLoad) -> None:
            self._timeline.after(way_s, partial(come_back, has_run, load))

        def come_back(has_run: bool, load: ReportedLoad) -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            self._learn_limit(asked.entry, target)
            outcome = AttemptOutcome.ANSWERED if has_run else AttemptOutcome.SHED
            if not has_run:
                self.figures.spread.record_shed(
                    target.plan.name, self.targets.values(), self._timeline.now
                )
            asked.entry.decider.finish(choice, outcome, load, self._timeline.now)
            if has_run:
                self._answer(asked)
            else:
                self._retry(asked, choice, outcome, Ran.NO, load)

        def arrive() -> None:
            nonlocal ended
            factor = target.plan.work_factor(asked.arrival.kind)
            job = Job(asked.arrival.key, answered, factor)
            if not target.take(job, self._timeline.now):
                ended = True
                outcome = AttemptOutcome.CONNECT_FAILED
                asked.entry.decider.finish(choice, outcome, None, self._timeline.now)
                self._retry(asked, choice, outcome, Ran.NO, None)

        def give_up() -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            outcome = AttemptOutcome.TIMED_OUT
            asked.entry.decider.finish(choice, outcome, None, self._timeline.now)
            self._retry(asked, choice, outcome, Ran.UNKNOWN, None)

        self._timeline.after(way_s, arrive)
        self._timeline.after(max(0.0, self._left_s(asked.arrival)), give_up)

    def _retry(
        self,
        asked: Try,
        choice: Choice,
        outcome: AttemptOutcome,
        ran: Ran,
        reported: ReportedLoad | None,
    ) -> None:
        """Go on as the product's forwarder does."""
        target = choice.target.id
        sends = asked.sends.get(target, 0)
        asked.retry_state.record_attempt(outcome, ran, was_sent_before=sends > 0)
        asked.sends[target] = sends + 1
        has_capacity = (
            outcome is AttemptOutcome.SHED
            and reported is not None
            and reported.has_capacity
        )
        if not has_capacity or sends + 1 >= forwarding_const.MAX_ATTEMPTS_PER_TARGET:
            asked.excluded |= {target}
        left_s = self._left_s(asked.arrival)
        give_up = asked.retry_state.give_up_reason(body_gone=False, time_left_s=left_s)
        service = asked.arrival.kind.service
        is_allowed = give_up is None and asked.entry.budget.take(
            service, 1 / len(self.entries), self._timeline.now
        )
        if is_allowed:
            self._attempt(asked)
        elif ran is Ran.UNKNOWN:
            self._end(
                asked.arrival,
                Outcome.FAILED,
                returns=asked.returns,
                tried_at=asked.began_at,
            )
        else:
            wait_s = forwarding_const.DEFAULT_RETRY_S
            if has_capacity:
                wait_s = forwarding_const.SHED_RETRY_S
            self._send_back(asked, wait_s)

    def _refuse(self, asked: Try, failure: Failure) -> None:
        self._send_back(asked, failure.retry_after_s or 0.0)

    def _send_back(self, asked: Try, wait_s: float) -> None:
        arrival = asked.arrival
        left_s = self._left_s(arrival)
        held_s = (
            self._timeline.now - asked.began_at + 2 * self.scenario.caller_ms / 1000
        )
        held_share = held_s * 1000 / arrival.kind.target_latency_ms
        self.figures.rejected_after[arrival.kind.name].append(held_share)
        may_return = asked.returns < arrival.kind.retries and left_s > 0
        if not may_return:
            self._end(
                arrival, Outcome.REFUSED, returns=asked.returns, tried_at=asked.began_at
            )
            return
        wait_s = min(wait_s, left_s * RETURN_PART)
        self.figures.returns += 1
        again: Callable[[], None] = partial(self._ask, arrival, asked.returns + 1)
        self._timeline.after(wait_s + self.scenario.caller_ms / 1000, again)

    def _answer(self, asked: Try) -> None:
        arrival = asked.arrival
        took_s = self._timeline.now - arrival.at + self.scenario.caller_ms / 1000
        took_ms = took_s * 1000
        if took_ms > arrival.kind.deadline_ms:
            outcome = Outcome.FAILED
        elif took_ms > arrival.kind.target_latency_ms:
            outcome = Outcome.LATE
        else:
            outcome = Outcome.IN_TIME
        if outcome is Outcome.FAILED:
            took_ms = 0.0
        self._end(
            arrival, outcome, took_ms, returns=asked.returns, tried_at=asked.began_at
        )

    def _end(
        self,
        arrival: Arrival,
        outcome: Outcome,
        took_ms: float = 0.0,
        *,
        returns: int = 0,
        tried_at: float = 0.0,
    ) -> None:
        self.figures.note(
            Ending(
                arrival.kind,
                arrival.at,
                outcome,
                took_ms,
                region=self.scenario.region_by_zone[arrival.zone],
                workspace=arrival.workspace,
                returns=returns,
                tried_at=tried_at,
            )
        )


def _zones_of_targets(scenario: Scenario, count: int) -> list[AvailabilityZoneId]:
    """Return the zone of each target of a service: by weight, in turn if all alike."""
    zones = list(scenario.region_by_zone)
    if not scenario.target_weights:
        return [zones[number % len(zones)] for number in range(count)]
    placed: dict[AvailabilityZoneId, int] = dict.fromkeys(zones, 0)
    chosen = []
    for _ in range(count):
        # The zone that is furthest below its part gets the next target.
        zone = max(
            zones,
            key=lambda z: scenario.target_weights.get(z, 1.0) / (placed[z] + 0.5),
        )
        placed[zone] += 1
        chosen.append(zone)
    return chosen
