"""A small queue model of targets, driven by the deciding functions."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random

from bench.steering_choosers import Deciding, Directory, Picked
from bench.steering_profiles import REQUEST_TIMEOUT_S, CustomerProfile, entry_records
from bench.steering_scenarios import TROUBLED_REGION, Arrival, Scenario, middle_third
from bench.steering_servers import Server
from bench.timeline import Timeline
from mothshunt.contract.model import RetryBudget
from mothshunt.core.types import RegionId, TargetId
from mothshunt.steering.const import HOME_REGION_WAIT_S, MAX_WAIT_S
from mothshunt.steering.model import Outcome
from mothshunt.steering.waiting import WaitQueue

REPORT_INTERVAL_S = 1.0
REPORT_DELAY_S = 0.5
CONNECT_TIMEOUT_S = 0.3
NEW_CONNECTION_S = 0.001
ZONE_LATENCY_S = 0.001
TRIES_MAX = 3
WARM_UP_S = 3.0


@dataclass(slots=True)
class Request:
    """One request on its way."""

    arrival: Arrival
    excluded: frozenset[TargetId] = frozenset()
    tries: int = 0
    runs: int = 0
    waited: bool = False
    done: bool = False


@dataclass(slots=True)
class Figures:
    """What is measured in a run."""

    latencies_s: list[float] = field(default_factory=list)
    refused: int = 0
    failed: int = 0
    arrived: int = 0
    retries: int = 0
    worst_occupancy: float = 0.0
    worst_shift: int = 0
    doubled: int = 0


class QueueModel:
    """Run one scenario with one chooser.

    :param profile: The customer.
    :param scenario: What happens.
    :param duration_s: Length of the run, in seconds.
    :param timeline: Events of the run.
    :param directory: View of the targets that the chooser has.
    :param chooser: The chooser.
    """

    def __init__(
        self,
        *,
        profile: CustomerProfile,
        scenario: Scenario,
        duration_s: float,
        timeline: Timeline,
        directory: Directory,
        chooser: Deciding,
    ) -> None:
        self.figures = Figures()
        self._profile = profile
        self._timeline = timeline
        self._directory = directory
        self._chooser = chooser
        self._entries = entry_records()
        self._capacity = profile.region_capacity()
        self._servers = self._make_servers(scenario)
        self._in_flight_by_region: dict[RegionId, int] = {}
        self._shifted = 0
        self._budget = RetryBudget()
        self._tokens = [10.0] * len(self._entries)
        self._rooms: list[WaitQueue[Request]] = [WaitQueue() for _ in self._entries]
        self._rng = Random(profile.name)
        if scenario.region_lost:
            start, end = middle_third(duration_s)
            timeline.at(start, self._lose_region)
            timeline.at(end, self._restore_region)
        timeline.after(0.0, self._report)

    def run(self, arrivals: list[Arrival], end: float) -> Figures:
        """Run all arrivals to their answers.

        :param arrivals: The requests.
        :param end: Time of the last event, in seconds.
        """
        for arrival in arrivals:
            self._timeline.at(arrival.at, partial(self._arrive, Request(arrival)))
        self._chooser.start(self._wake_all)
        self._timeline.run_until(end)
        return self.figures

    def _make_servers(self, scenario: Scenario) -> dict[TargetId, Server]:
        servers = {
            target.id: Server(
                replace(target, first_seen_at=self._timeline.now), self._timeline
            )
            for target in self._profile.targets()
        }
        for service in self._profile.services:
            marked = servers[TargetId(f"{service.name}-0")]
            marked.slow = scenario.slow_target
            marked.lying = scenario.lying_target
        return servers

    def _report(self) -> None:
        """Show a view of the targets as it was a moment ago."""
        view = [
            replace(server.target, report=server.report())
            for server in self._servers.values()
            if not server.lost
        ]
        self._timeline.after(REPORT_DELAY_S, partial(self._directory.replace, view))
        self._timeline.after(REPORT_INTERVAL_S, self._report)

    def _lose_region(self) -> None:
        for server in self._servers.values():
            if server.target.region == TROUBLED_REGION:
                server.lose()

    def _restore_region(self) -> None:
        for server in self._servers.values():
            if server.lost:
                server.restore()

    def _arrive(self, request: Request) -> None:
        if self._counts(request):
            self.figures.arrived += 1
        entry = request.arrival.entry
        tokens = self._tokens[entry] + self._budget.ratio
        self._tokens[entry] = min(10.0, tokens)
        self._try(request, self._timeline.now + MAX_WAIT_S, count_refusal=True)

    def _counts(self, request: Request) -> bool:
        return request.arrival.at >= WARM_UP_S

    def _try(
        self, request: Request, give_up_at: float, count_refusal: bool = False
    ) -> None:
        if request.done:
            return
        now = self._timeline.now
        picked = self._chooser.pick(
            request.arrival,
            request.excluded,
            now,
            stay_in_region=now < request.arrival.at + HOME_REGION_WAIT_S,
            count_refusal=count_refusal,
        )
        if picked is not None:
            self._send(request, picked)
        elif not (self._chooser.waits and self._wait(request, give_up_at)):
            self._refuse(request)

    def _wait(self, request: Request, give_up_at: float) -> bool:
        arrival = request.arrival
        if self._timeline.now >= give_up_at or request.tries:
            return False
        room = self._rooms[arrival.entry]
        place = (self._profile.name, arrival.service, arrival.idempotent, request)
        if not room.add(*place):
            return False
        if request.waited:
            return True
        request.waited = True
        self._timeline.at(give_up_at, partial(self._end_wait, request))
        self._timeline.after(HOME_REGION_WAIT_S, partial(self._end_patience, request))
        return True

    def _end_patience(self, request: Request) -> None:
        if self._leave_room(request):
            self._try(request, request.arrival.at + MAX_WAIT_S, count_refusal=True)

    def _leave_room(self, request: Request) -> bool:
        arrival = request.arrival
        room = self._rooms[arrival.entry]
        before = len(room)
        room.discard(self._profile.name, arrival.service, arrival.idempotent, request)
        return len(room) < before

    def _end_wait(self, request: Request) -> None:
        if self._leave_room(request):
            self._refuse(request)

    def _wake_all(self, entry: int) -> None:
        for request in list(self._rooms[entry].pop_all()):
            self._try(request, request.arrival.at + MAX_WAIT_S)

    def _refuse(self, request: Request) -> None:
        if request.done:
            return
        request.done = True
        if self._counts(request):
            self.figures.refused += 1

    def _send(self, request: Request, picked: Picked) -> None:
        request.tries += 1
        arrival = request.arrival
        server = self._servers[picked.target.id]
        region = server.target.region
        home = self._entries[arrival.entry].region
        self._count_in_flight(region, home, 1)
        way_s = self._way_s(arrival.entry, server)
        finish = partial(self._end, request, picked, server)
        idle = server.connections_by_entry.get(arrival.entry, 0)
        if server.lost:
            self._timeline.after(
                CONNECT_TIMEOUT_S, partial(finish, Outcome.CONNECT_FAILED)
            )
            return
        if idle:
            server.connections_by_entry[arrival.entry] = idle - 1
        else:
            way_s += NEW_CONNECTION_S
        answer = partial(self._answer, server, finish, way_s / 2)
        self._timeline.after(way_s / 2, partial(self._take, server, request, answer))
        self._timeline.after(REQUEST_TIMEOUT_S, partial(finish, Outcome.TIMED_OUT))

    def _way_s(self, entry: int, server: Server) -> float:
        record = self._entries[entry]
        if record.region != server.target.region:
            return self._profile.region_latency_s
        if record.availability_zone != server.target.availability_zone:
            return ZONE_LATENCY_S * 2
        return ZONE_LATENCY_S

    def _take(
        self, server: Server, request: Request, answer: Callable[[Outcome], None]
    ) -> None:
        if not server.take(request.arrival.run_s, answer):
            return
        request.runs += 1
        if request.runs > 1 and not request.arrival.idempotent:
            self.figures.doubled += 1

    def _answer(
        self,
        server: Server,
        finish: Callable[[Outcome], None],
        way_s: float,
        outcome: Outcome,
    ) -> None:
        if not server.lost:
            self._timeline.after(way_s, partial(finish, outcome))

    def _end(
        self, request: Request, picked: Picked, server: Server, outcome: Outcome
    ) -> None:
        """Take an answer or a timeout of one attempt, whichever is first."""
        if request.done or server.target.id in request.excluded:
            return
        arrival = request.arrival
        home = self._entries[arrival.entry].region
        self._count_in_flight(server.target.region, home, -1)
        self._chooser.finish(arrival, picked, outcome, self._timeline.now)
        if outcome is not Outcome.CONNECT_FAILED and outcome is not Outcome.TIMED_OUT:
            idle = server.connections_by_entry.get(arrival.entry, 0)
            server.connections_by_entry[arrival.entry] = idle + 1
        request.excluded |= {server.target.id}
        if outcome is Outcome.ANSWERED:
            request.done = True
            if self._counts(request):
                self.figures.latencies_s.append(self._timeline.now - arrival.at)
        elif self._may_retry(request, outcome):
            self.figures.retries += 1
            self._try(request, give_up_at=0.0)
        else:
            self._fail(request, outcome)
        self._wake_one(arrival)

    def _may_retry(self, request: Request, outcome: Outcome) -> bool:
        """Retry what is idempotent or known not run, within time and budget."""
        arrival = request.arrival
        not_run = outcome in (Outcome.SHED, Outcome.CONNECT_FAILED)
        if not (arrival.idempotent or not_run) or request.tries >= TRIES_MAX:
            return False
        if self._timeline.now - arrival.at > REQUEST_TIMEOUT_S / 2:
            return False
        if self._tokens[arrival.entry] < 1:
            return False
        self._tokens[arrival.entry] -= 1
        return True

    def _fail(self, request: Request, outcome: Outcome) -> None:
        """Count a shed request that is not tried again as refused, others as failed."""
        request.done = True
        if not self._counts(request):
            return
        if outcome is Outcome.SHED:
            self.figures.refused += 1
        else:
            self.figures.failed += 1

    def _wake_one(self, arrival: Arrival) -> None:
        room = self._rooms[arrival.entry]
        waiting = room.pop_next(self._profile.name, arrival.service)
        if waiting is not None:
            self._try(waiting, waiting.arrival.at + MAX_WAIT_S)

    def _count_in_flight(self, region: RegionId, home: RegionId, change: int) -> None:
        in_flight = self._in_flight_by_region.get(region, 0) + change
        self._in_flight_by_region[region] = in_flight
        if region != home:
            self._shifted += change
        if self._timeline.now < WARM_UP_S:
            return
        figures = self.figures
        figures.worst_occupancy = max(
            figures.worst_occupancy, in_flight / self._capacity
        )
        figures.worst_shift = max(figures.worst_shift, self._shifted)
