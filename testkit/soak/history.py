"""What callers, targets and operators saw during a soak, and the promises it breaks."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

#: Time after which an instance without a fault is held to bounds in time, in seconds.
CALM_AFTER_S = 5.0
#: A leaving target gets no new work after this time, in seconds, as the brief asks.
LEAVE_BOUND_S = 2.0
#: A change is in force everywhere after this time, in seconds, as the brief asks.
IN_FORCE_BOUND_S = 5.0
#: Longer bound of both while a control instance has a fault, in seconds: an election
#: and a repeated delivery.
CONTROL_FAULT_STRETCH_S = 6.0
#: Status that promises that a request was not run and never will be.
NOT_RUN_STATUS = 503
OK_STATUS = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class Span:
    """Hold the time from which and up to which something held, in seconds."""

    since: float
    until: float

    def overlaps(self, since: float, until: float) -> bool:
        """Tell whether it held at some time between two others."""
        return self.since <= until and since <= self.until


@dataclass(kw_only=True, slots=True)
class Sent:
    """Hold one request as its caller saw it.

    :param id: Its id.
    :param is_order: Whether it may run once at most.
    :param entry: Entry instance that it was sent to.
    :param sent_at: Time at which it was sent, in seconds.
    :param ended_at: Time at which it ended, in seconds.
    :param status: Status of a complete answer; 0 where none came.
    :param body: Body of the answer.
    """

    id: str
    is_order: bool
    entry: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """Hold one request as a target saw it.

    :param target: Name of the target.
    :param incarnation: Its incarnation.
    :param service: Its service.
    :param zone: Its availability zone.
    :param at: Time at which it arrived, in seconds.
    """

    target: str
    incarnation: int
    service: str
    zone: str
    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """Hold one change of the service that all routes go to.

    :param service: The service.
    :param asked_at: Time at which it was asked for first, in seconds.
    :param confirmed_at: Time at which it was known to be accepted, in seconds;
        infinite where that was never known.
    """

    service: str
    asked_at: float
    confirmed_at: float


@dataclass(kw_only=True, slots=True)
class History:
    """Gather what was seen, with all times from one clock.

    :param lag_s: Longest time for which the test itself did not run, in seconds; what
        it saw may have happened that much sooner.
    """

    lag_s: float = 0.0
    sent_by_id: dict[str, Sent] = field(default_factory=dict)
    runs_by_id: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    faults_by_instance: dict[str, list[Span]] = field(
        default_factory=lambda: defaultdict(list)
    )
    #: From each request to stop gracefully to the end of the process.
    stops_by_instance: dict[str, list[Span]] = field(
        default_factory=lambda: defaultdict(list)
    )
    #: From the confirmation that a target leaves to its return as another incarnation,
    #: by name and incarnation.
    away_by_target: dict[tuple[str, int], Span] = field(default_factory=dict)
    #: From the confirmation of each evacuation to the call that takes the zone back.
    evacuations_by_zone: dict[str, list[Span]] = field(
        default_factory=lambda: defaultdict(list)
    )
    moves: list[Move] = field(default_factory=list)
    #: Instances whose process ended with another exit code than it should.
    bad_exits: list[str] = field(default_factory=list)
    control: frozenset[str] = frozenset()

    def violations(self) -> list[str]:
        """Return the promises that were broken, a line each."""
        return [
            *self._wrong_answers(),
            *self._doubled(),
            *self._false_refusals(),
            *self._late_runs(),
            *self._cut_off_by_stops(),
            *(f"EXIT {line}" for line in self.bad_exits),
        ]

    def _wrong_answers(self) -> Iterator[str]:
        for sent in self.sent_by_id.values():
            if sent.status == OK_STATUS and sent.body.split(" ")[0] != sent.id:
                yield f"WRONG {sent.id} got {sent.body!r} from {sent.entry}"

    def _doubled(self) -> Iterator[str]:
        for sent in self.sent_by_id.values():
            runs = self.runs_by_id.get(sent.id, [])
            if sent.is_order and len(runs) > 1:
                yield f"TWICE {sent.id} through {sent.entry}: {runs}"

    def _false_refusals(self) -> Iterator[str]:
        for sent in self.sent_by_id.values():
            if sent.status == NOT_RUN_STATUS and self.runs_by_id.get(sent.id):
                yield f"REFUSED {sent.id} by {sent.entry}: {self.runs_by_id[sent.id]}"

    def _late_runs(self) -> Iterator[str]:
        for request_id, runs in self.runs_by_id.items():
            sent = self.sent_by_id.get(request_id)
            if sent is None:
                yield f"UNASKED {request_id}: {runs}"
                continue
            for run in runs:
                if self._is_calm(sent.entry, run.at):
                    yield from self._late_run(sent, run)

    def _late_run(self, sent: Sent, run: Run) -> Iterator[str]:
        where = f"{sent.id} through {sent.entry} at {run.target}, {run.at:.2f} s"
        away = self.away_by_target.get((run.target, run.incarnation))
        if away is not None and self._is_past(away, LEAVE_BOUND_S, run.at):
            yield f"LEFT {where}: it left at {away.since:.2f} s"
        for span in self.evacuations_by_zone.get(run.zone, []):
            if self._is_past(span, IN_FORCE_BOUND_S, run.at) and run.at < span.until:
                yield f"EVACUATED {where}: since {span.since:.2f} s"
        allowed = self._allowed_services(run.at)
        if run.service not in allowed:
            yield f"STALE {where}: {run.service} is not among {sorted(allowed)}"

    def judged(self) -> Counter[str]:
        """Count the runs that each bound in time was held against.

        A soak in which they are few tells nothing of these promises.
        """
        evacuations = [s for spans in self.evacuations_by_zone.values() for s in spans]
        counts: Counter[str] = Counter()
        for request_id, runs in self.runs_by_id.items():
            sent = self.sent_by_id.get(request_id)
            for run in runs:
                if sent is None or not self._is_calm(sent.entry, run.at):
                    continue
                counts["calm"] += 1
                counts["left"] += any(
                    self._is_past(span, LEAVE_BOUND_S, run.at) and run.at < span.until
                    for span in self.away_by_target.values()
                )
                counts["evacuated"] += any(
                    self._is_past(span, IN_FORCE_BOUND_S, run.at)
                    and run.at < span.until
                    for span in evacuations
                )
                asked = {m.service for m in self.moves if m.asked_at <= run.at}
                counts["moved"] += len(self._allowed_services(run.at)) < len(asked)
        return counts

    def _is_past(self, span: Span, bound_s: float, at: float) -> bool:
        """Tell whether what was confirmed at the begin of a span must hold by now."""
        return at > span.since + self._bound(bound_s, span.since, at)

    def _allowed_services(self, at: float) -> set[str]:
        """Return the services that a request at a time may go to."""
        allowed: set[str] = set()
        for move in self.moves:
            bound = self._bound(IN_FORCE_BOUND_S, move.confirmed_at, at)
            if at > move.confirmed_at + bound:
                allowed.clear()
            if move.asked_at <= at:
                allowed.add(move.service)
        return allowed

    def _bound(self, bound_s: float, since: float, until: float) -> float:
        """Return a bound, longer where control instances had faults meanwhile."""
        begins = since - CALM_AFTER_S
        has_fault = any(
            span.overlaps(begins, until)
            for name in self.control
            for spans in (self.faults_by_instance, self.stops_by_instance)
            for span in spans.get(name, [])
        )
        stretch_s = CONTROL_FAULT_STRETCH_S if has_fault else 0.0
        return bound_s + stretch_s + self.lag_s

    def had_fault(self, instance: str, since: float, until: float) -> bool:
        """Tell whether an instance had a fault, or was stopped, between two times."""
        spans = (
            *self.faults_by_instance.get(instance, ()),
            *self.stops_by_instance.get(instance, ()),
        )
        return any(span.overlaps(since, until) for span in spans)

    def _is_calm(self, instance: str, at: float) -> bool:
        return not any(
            span.overlaps(at - CALM_AFTER_S, at)
            for span in self.faults_by_instance.get(instance, [])
        )

    def _cut_off_by_stops(self) -> Iterator[str]:
        """Look for requests that ran and got no answer because their entry stopped."""
        for sent in self.sent_by_id.values():
            if sent.status or not self.runs_by_id.get(sent.id):
                continue
            faults = self.faults_by_instance.get(sent.entry, [])
            if any(span.overlaps(sent.sent_at, sent.ended_at) for span in faults):
                continue
            stops = self.stops_by_instance.get(sent.entry, [])
            if any(span.overlaps(sent.sent_at, sent.ended_at) for span in stops):
                yield f"CUT {sent.id} by the stop of {sent.entry}"
