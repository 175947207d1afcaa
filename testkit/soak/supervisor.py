"""Starts the processes of a soak again, and does to them what the plan says."""

import asyncio
import resource
from collections.abc import Callable
from dataclasses import dataclass, field

from testkit.deployment import Deployment, Instance
from testkit.proxy import BOTH, Direction
from testkit.soak.history import History, Span
from testkit.soak.plan import Fault, FaultKind

WATCH_INTERVAL_S = 0.05
#: A killed process is started again after this time, in seconds.
RESTART_DELAY_S = 0.3
#: Time that a started process needs until it takes part, in seconds.
START_S = 1.5
#: One way over a delayed stream, in seconds.
DELAY_S = 0.15
KILLED = -9
STOPPED = 0
#: A process that is told to stop before it listens for signals ends by that signal; it
#: serves nobody yet.
STOPPED_BEFORE_HANDLERS = -15
#: Exit codes of an instance that can't write its disk, at its start and later.
DISK_CODES = frozenset({3, 4})
DIRECTIONS = {
    FaultKind.CUT: BOTH,
    FaultKind.CUT_TO: (Direction.TO_SERVER,),
    FaultKind.CUT_FROM: (Direction.TO_CLIENT,),
}


@dataclass(slots=True, eq=False)
class Supervisor:
    """Keep the processes running, as a service manager does, and make the faults.

    :param deployment: The processes and the proxies between them.
    :param history: Where faults, stops and ends are noted.
    :param now: Returns the time of the soak, in seconds.
    """

    deployment: Deployment
    history: History
    now: Callable[[], float]
    _down_until: dict[str, float] = field(default_factory=dict)
    _allowed_codes: dict[str, set[int]] = field(default_factory=dict)
    _started_at: dict[str, float] = field(default_factory=dict)
    _stop_asked_at: dict[str, float] = field(default_factory=dict)

    async def async_watch(self) -> None:
        """Start each process again that has ended; runs until it is cancelled."""
        while True:
            for instance in self.deployment.instances:
                if not instance.process.is_running():
                    self._restart(instance)
            await asyncio.sleep(WATCH_INTERVAL_S)

    def _restart(self, instance: Instance) -> None:
        name, now = instance.id, self.now()
        asked_at = self._stop_asked_at.pop(name, None)
        if asked_at is not None:
            self._note_stop(name, asked_at, now)
        allowed = self._allowed_codes.pop(name, None)
        code = instance.process.exit_code
        if code is not None and name not in self._down_until:
            self._down_until[name] = now + RESTART_DELAY_S
            if code not in (allowed or ()):
                tail = instance.process.log_tail(5)
                self.history.bad_exits.append(f"{name} ended with {code}:\n{tail}")
        if now >= self._down_until.get(name, 0.0):
            self._down_until.pop(name, None)
            instance.process.start()
            self._started_at[name] = now
            self._note(name, now, START_S)

    def _note_stop(self, name: str, since: float, until: float) -> None:
        stops = self.history.stops_by_instance[name]
        stops[-1] = Span(since=since, until=until)

    def _note(self, name: str, since: float, length_s: float) -> None:
        span = Span(since=since, until=since + length_s)
        self.history.faults_by_instance[name].append(span)

    async def async_make(self, fault: Fault) -> None:
        """Make a fault and end it.

        :param fault: The fault.
        """
        instance = self.deployment[fault.instance]
        now = self.now()
        if fault.kind is FaultKind.TERMINATE:
            self._terminate(instance, now)
            return
        if fault.kind not in (FaultKind.SILENCE, FaultKind.RESET):
            self._note(instance.id, now, fault.length_s)
        match fault.kind:
            case FaultKind.KILL | FaultKind.WIPE:
                self._kill(instance, now + fault.length_s)
                if fault.kind is FaultKind.WIPE:
                    instance.wipe_disk()
            case FaultKind.FREEZE:
                instance.process.freeze()
                await asyncio.sleep(fault.length_s)
                instance.process.thaw()
            case FaultKind.FULL_DISK:
                await self._async_fill_disk(instance, fault.length_s)
            case _:
                await self._async_harm_streams(instance, fault)

    def _terminate(self, instance: Instance, now: float) -> None:
        name = instance.id
        if not instance.process.is_running() or name in self._stop_asked_at:
            return
        self._stop_asked_at[name] = now
        self.history.stops_by_instance[name].append(Span(since=now, until=float("inf")))
        self._allow(name, {STOPPED})
        if now - self._started_at.get(name, 0.0) < START_S:
            self._allow(name, {STOPPED_BEFORE_HANDLERS})
        instance.process.terminate()

    def _kill(self, instance: Instance, until: float) -> None:
        self._allow(instance.id, {KILLED, STOPPED})
        self._down_until[instance.id] = until
        instance.process.kill()

    def _allow(self, name: str, codes: set[int] | frozenset[int]) -> None:
        self._allowed_codes.setdefault(name, set()).update(codes)

    async def _async_fill_disk(self, instance: Instance, length_s: float) -> None:
        """Let the process write nothing for some time; it may end meanwhile."""
        if not instance.process.is_running():
            return
        pid = instance.process.pid
        self._allow(instance.id, DISK_CODES)
        soft, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, hard))
        await asyncio.sleep(length_s)
        if instance.process.is_running() and instance.process.pid == pid:
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (soft, hard))

    async def _async_harm_streams(self, instance: Instance, fault: Fault) -> None:
        proxies = self.deployment.proxies
        own = {instance.id}
        others = set(self.deployment.instance_by_id) - own
        match fault.kind:
            case FaultKind.SILENCE:
                self._note(instance.id, self.now(), 0.0)
                proxies.silence_open_of(own)
            case FaultKind.RESET:
                self._note(instance.id, self.now(), 0.0)
                proxies.reset_open(own)
            case FaultKind.DELAY:
                proxies.delay(own, DELAY_S)
                await asyncio.sleep(fault.length_s)
                proxies.delay(own, 0.0)
            case kind:
                proxies.cut(own, others, DIRECTIONS[kind])
                await asyncio.sleep(fault.length_s)
                proxies.heal_between(own, others)

    def heal(self) -> None:
        """End all faults that may still hold."""
        self.deployment.proxies.heal()
        for instance in self.deployment.instances:
            instance.process.thaw()
        # What is down is started at once; its end was judged already.
        self._down_until = dict.fromkeys(self._down_until, 0.0)
