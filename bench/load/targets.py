"""Emulated targets with slots, a queue and a memory for objects."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from bench.load.limits import LimitedSpan
from bench.load.scenario import ServicePlan
from mothshunt.placement.model import ReportedLoad, RoutableTarget

#: Calls a function after some seconds.
After = Callable[[float, Callable[[], None]], None]
Answer = Callable[[bool, ReportedLoad], None]


@dataclass(slots=True, eq=False)
class Job:
    """One request at a target.

    :param key: Object that it concerns.
    :param answer: Called with whether it was run, and with the load of the target.
    :param work_factor: Time that it takes as a multiple of that of the service.
    """

    key: str | None
    answer: Answer
    work_factor: float = 1.0


@dataclass(slots=True, eq=False)
class EmulatedTarget:
    """Run requests as the plan of a service says.

    :param placed: How the target is known.
    :param plan: The service.
    :param speed: Its time as a multiple of the usual one.
    :param after: Calls a function later.
    :param random: Decides what is turned away.
    :param shed_part: Part of the requests that is turned away at random.
    :param slowness: Further multiple of its time.
    :param flicker: Further multiple, of its machine at present.
    :param is_up: Whether it answers at all.
    :param limited: Rate limit that it names; ``None`` for none.
    """

    placed: RoutableTarget
    plan: ServicePlan
    speed: float
    after: After
    random: Random
    shed_part: float = 0.0
    slowness: float = 1.0
    flicker: float = 1.0
    is_up: bool = True
    limited: LimitedSpan | None = None
    runs: int = 0
    _running: int = 0
    _waiting: deque[Job] = field(default_factory=deque)
    _memory: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _life: int = 0

    def load(self) -> ReportedLoad:
        """Return what the target tells of its load."""
        return ReportedLoad(
            running=self._running,
            waiting=len(self._waiting),
            slots=self.plan.slots,
            slowdown=self.flicker if self.plan.reports_slowdown else 1.0,
        )

    def take(self, job: Job, now: float) -> bool:
        """Take a request; ``False`` where nothing answers.

        :param job: The request.
        :param now: The present time, in seconds.
        """
        if not self.is_up:
            return False
        if self.limited is not None:
            self.limited.came_at.append(now)
        is_full = len(self._waiting) >= self.plan.queue
        if is_full or self.random.random() < self.shed_part:
            job.answer(False, self.load())
        elif self._running < self.plan.slots:
            self._run(job)
        else:
            self._waiting.append(job)
        return True

    def stop(self) -> None:
        """End without an answer to anybody, and forget all."""
        self.is_up = False
        self._life += 1
        self._running = 0
        self._waiting.clear()
        self._memory.clear()

    def _run(self, job: Job) -> None:
        self._running += 1
        self.runs += 1
        is_known = job.key in self._memory
        if job.key is not None:
            self._memory[job.key] = None
            self._memory.move_to_end(job.key)
            if len(self._memory) > self.plan.memory:
                self._memory.popitem(last=False)
        usual_ms = self.plan.known_ms if is_known else self.plan.unknown_ms
        usual_ms *= job.work_factor
        life = self._life

        def end() -> None:
            if life != self._life:
                return
            self._running -= 1
            job.answer(True, self.load())
            if self._waiting:
                self._run(self._waiting.popleft())

        factor = self.speed * self.slowness * self.flicker
        self.after(usual_ms / 1000 * factor, end)
