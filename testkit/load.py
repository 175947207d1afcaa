"""An open-loop load driver that checks every answer."""

import asyncio
import itertools
import random
import time
import uuid
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from testkit.caller import Caller
from testkit.request import DEFAULT_DEADLINE_MS, Outcome, Request, Result

LOWEST_LATENCY_US = 1
HIGHEST_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_MILLISECOND = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestKind:
    """Describe one kind of request of a load.

    :param service: Service.
    :param method: HTTP method.
    :param path: Path below the service.
    :param weight: Share of the arrivals, relative to the other kinds.
    :param with_key: Whether each request carries an idempotency key.
    :param headers: Further headers.
    :param deadline_ms: Deadline of each request.
    """

    service: str
    method: str = "GET"
    path: str = "/"
    weight: float = 1.0
    with_key: bool = False
    headers: Mapping[str, str] = field(default_factory=dict)
    deadline_ms: int = DEFAULT_DEADLINE_MS


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadPlan:
    """Describe a load.

    :param kinds: Kinds of requests.
    :param rate_per_s: Arrivals a second, at random times.
    :param duration_s: Seconds; ``None`` goes on until ``stop``.
    :param seed: Seed of arrivals and kinds.
    """

    kinds: tuple[RequestKind, ...]
    rate_per_s: float
    duration_s: float | None = None
    seed: int = 1


@dataclass(slots=True)
class LoadReport:
    """Hold what became of the requests of a load."""

    results: list[Result] = field(default_factory=list)

    def count(self, outcome: Outcome) -> int:
        """Return how many requests ended in one way."""
        return sum(result.outcome is outcome for result in self.results)

    def count_by_outcome(self) -> dict[str, int]:
        """Return how many requests ended in which way."""
        return dict(Counter(result.outcome.value for result in self.results))

    def refused_by_code(self) -> dict[str, int]:
        """Return how many requests were refused with which code."""
        refused = (r for r in self.results if r.outcome is Outcome.REFUSED)
        return dict(Counter(result.code_name for result in refused))

    def histogram(self) -> HdrHistogram:
        """Return the latencies of whole answers, in microseconds."""
        histogram = HdrHistogram(
            LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS
        )
        for result in self.results:
            if result.outcome is Outcome.WHOLE:
                histogram.record_value(max(1, int(result.latency_s * 1_000_000)))
        return histogram

    def quantile_ms(self, percent: float) -> float:
        """Return a quantile of the latency of whole answers, in milliseconds.

        :param percent: Such as 99.
        """
        value_us = self.histogram().get_value_at_percentile(percent)
        return float(value_us) / MICROSECONDS_PER_MILLISECOND

    def without_service_s(self) -> float:
        """Return the longest time between two whole answers, in seconds."""
        ends = sorted(
            result.started_at + result.latency_s
            for result in self.results
            if result.outcome is Outcome.WHOLE
        )
        gaps = (after - before for before, after in itertools.pairwise(ends))
        return max(gaps, default=0.0)

    def violations(self, run_count_by_id: Mapping[str, int]) -> list[str]:
        """Return what must never be, in words; empty when all is well.

        :param run_count_by_id: How often targets ran each request.
        """
        found = []
        for result in self.results:
            request_id = result.request.request_id
            runs = run_count_by_id.get(request_id, 0)
            name = f"{result.request.method} {request_id}"
            if result.outcome is Outcome.WRONG:
                found.append(f"{name}: a wrong answer looked whole: {result.detail}")
            if not result.request.is_read and runs > 1:
                found.append(f"{name}: run {runs} times")
            if result.ran == "no" and runs > 0:
                found.append(f"{name}: told not run ({result.code_name}), but run")
            if result.outcome is Outcome.WHOLE and runs == 0:
                found.append(f"{name}: answered, but never run")
        return found


class LoadDriver:
    """Send requests at random times, whatever became of the earlier ones.

    :param plan: The load.
    :param callers: Callers to send from, chosen at random.
    """

    def __init__(self, plan: LoadPlan, callers: Sequence[Caller]) -> None:
        self._plan = plan
        self._callers = tuple(callers)
        self._random = random.Random(plan.seed)
        # Makes ids unique among loads of one seed.
        self._prefix = uuid.uuid4().hex[:8]
        self._sent = 0
        self._stopped = asyncio.Event()
        self.report = LoadReport()

    async def async_run(self) -> LoadReport:
        """Send until the end of the load, then wait for the last answer."""
        due_at = time.monotonic()
        end_at = None
        if self._plan.duration_s is not None:
            end_at = due_at + self._plan.duration_s
        async with asyncio.TaskGroup() as group:
            while end_at is None or due_at < end_at:
                due_at += self._random.expovariate(self._plan.rate_per_s)
                if await self._stopped_before(due_at):
                    break
                group.create_task(self._async_send(due_at))
        return self.report

    def stop(self) -> None:
        """Send no more requests."""
        self._stopped.set()

    async def _stopped_before(self, due_at: float) -> bool:
        wait_s = due_at - time.monotonic()
        if wait_s <= 0:
            await asyncio.sleep(0)
            return self._stopped.is_set()
        try:
            async with asyncio.timeout(wait_s):
                return await self._stopped.wait()
        except TimeoutError:
            return False

    async def _async_send(self, due_at: float) -> None:
        caller = self._random.choice(self._callers)
        result = await caller.async_send(self._next_request(), due_at)
        self.report.results.append(result)

    def _next_request(self) -> Request:
        kinds = self._plan.kinds
        weights = [kind.weight for kind in kinds]
        kind = self._random.choices(kinds, weights)[0]
        self._sent += 1
        request_id = f"{self._prefix}-{self._sent}"
        return Request(
            request_id=request_id,
            service=kind.service,
            method=kind.method,
            path=kind.path,
            key=f"key-{request_id}" if kind.with_key else None,
            body=b"" if kind.method == "GET" else request_id.encode(),
            deadline_ms=kind.deadline_ms,
            headers=dict(kind.headers),
        )
