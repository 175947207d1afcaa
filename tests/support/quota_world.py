"""Entry and control instances that share quotas, in virtual time."""

import asyncio
from bisect import bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass
from random import Random
from types import SimpleNamespace
from zlib import crc32

from expression import Error, Ok

from mothshunt.core.codes import Failure
from mothshunt.helpers.peer import codes as peer_codes
from mothshunt.metrics.registry import Metrics
from mothshunt.quota import const
from mothshunt.quota.limiter import QuotaLimiter
from mothshunt.quota.share import IssuerShare
from mothshunt.quota.token_service import QuotaTokenService
from mothshunt.routing.model import Workspace
from mothshunt.util import wire
from tests.support.virtual_time import VirtualTimeLoop

REGIONS = 3
CONTROL_REGIONS = (0, 0, 1, 1, 2)
#: One-way latency within a region and between regions, in seconds.
NEAR_S, FAR_S = 0.0019, 0.037
TIME_LEFT_S = 2.0
#: Time for which one region has more of the demand than the others, in seconds, and the
#: share of all requests that goes there first of all: with its part of the rest, half.
WAVE_S = 12.0
WAVE_SHARE = 0.25
#: Time between two confirmations of a control instance by a majority, in seconds.
CONFIRM_INTERVAL_S = 1.0


def workspace(name, per_s, burst):
    return Workspace(
        name=name,
        key_digests=(),
        requests_per_s=per_s,
        burst=burst,
        priority=None,
        home_regions=(),
        document="",
    )


@dataclass
class LoopClock:
    """Clock of one instance, which starts at a time of its own."""

    loop: asyncio.AbstractEventLoop
    offset: float

    def monotonic(self):
        return self.loop.time() + self.offset


class Streams:
    """Streams of one instance of the world."""

    def __init__(self, world, own_id):
        self.world, self.own_id, self.handler_by_class = world, own_id, {}

    def on_request(self, cls, handler):
        self.handler_by_class[cls] = handler

    async def async_request(self, peer, message, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                return Ok(await self.world.async_carry(self.own_id, peer, message))
        except TimeoutError:
            return Error(Failure(code=peer_codes.NO_ANSWER, detail=peer))


class ReferenceBucket:
    """Token bucket of one place that sees all requests of a workspace at once."""

    def __init__(self, quota):
        self.per_s, self.burst = quota.requests_per_s, quota.burst
        self.level, self.at = self.burst, 0.0

    def take(self, now):
        self.level = min(self.burst, self.level + (now - self.at) * self.per_s)
        self.at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


class QuotaWorld:
    """Entry and control instances with delays, losses, partitions and restarts.

    :param entries: Number of entry instances.
    :param quotas: Workspaces at the start.
    :param lost_share: Share of the messages that are lost.
    """

    def __init__(self, entries, quotas, *, seed=1, lost_share=0.0, late_share=0.0):
        self.loop, self.random = VirtualTimeLoop(), Random(seed)
        self.lost_share, self.late_share = lost_share, late_share
        self.workspace_by_name = {w.name: w for w in quotas}
        self.quota_changes = [(0.0, dict(self.workspace_by_name))]
        self.members = [f"c{n}" for n in range(len(CONTROL_REGIONS))]
        self.region_by_id, self.streams_by_id, self.service_by_control = {}, {}, {}
        self.limiter_by_entry, self.confirmed_at_by_control = {}, {}
        self.members_by_control = {}
        self.cut, self.frozen, self.isolated, self.gone = set(), set(), set(), set()
        self.is_leaderless, self.controls_made = False, len(self.members)
        self.log_length, self.is_idle = 2, False
        self.sent_by_workspace = defaultdict(list)
        self.rejections, self.rejection_waits_s = [], []
        self.wrongly_rejected = []
        self.waits_s, self.counts, self.bytes = [], Counter(), 0
        self.reference_by_workspace = {w.name: ReferenceBucket(w) for w in quotas}
        self.entries = [f"e{n}" for n in range(entries)]
        self.tasks, self.admissions = [], set()

    @property
    def now(self):
        return self.loop.time()

    def run(self, coroutine):
        asyncio.set_event_loop(self.loop)
        return self.loop.run_until_complete(coroutine)

    def pass_s(self, seconds):
        self.run(asyncio.sleep(seconds))

    def start(self, *, had_data=False):
        async def async_start():
            for number, control in enumerate(self.members):
                self.region_by_id[control] = CONTROL_REGIONS[number]
                await self.async_start_control(control, had_data=had_data)
            for number, entry in enumerate(self.entries):
                self.region_by_id[entry] = number % REGIONS
                await self.async_start_entry(entry)
            self.tasks.append(asyncio.create_task(self.async_confirm()))

        self.log_length = 100 if had_data else 2
        self.run(async_start())
        self.log_length = 100

    def close(self):
        async def async_close():
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.run(async_close())
        asyncio.set_event_loop(None)
        self.loop.close()

    def streams(self, name):
        self.streams_by_id[name] = Streams(self, name)
        return self.streams_by_id[name]

    def clock(self):
        return LoopClock(self.loop, self.random.uniform(0, 1000))

    async def async_start_control(self, control, *, had_data=True):
        old = self.service_by_control.get(control)
        if old is not None:
            await old.async_stop()
        clock = self.clock()
        # A restarted instance knows what its disk holds, and isn't confirmed yet.
        self.members_by_control.setdefault(control, list(self.members))
        self.confirmed_at_by_control[control] = None
        service = QuotaTokenService(
            network=self.streams(control),
            members=lambda: self.members_by_control[control],
            confirmed_at=lambda: self.confirmed_at_by_control[control],
            log_length=lambda: self.log_length,
            clock=clock,
            metrics=Metrics(),
            share=IssuerShare(control),
        )
        if had_data:
            service.on_log_opened()
        # What a majority confirms holds the quotas, except in a log just founded.
        is_founding = self.log_length <= const.MAX_FOUNDING_ENTRIES
        if not is_founding:
            service.on_configuration(self.configuration())
        self.service_by_control[control] = service
        await service.async_start()
        if control not in self.isolated:
            self.confirm(control)
        if is_founding:
            service.on_configuration(self.configuration())

    async def async_start_entry(self, entry):
        limiter = QuotaLimiter(
            network=self.streams(entry),
            controls=lambda: self.controls_of(entry),
            clock=self.clock(),
            metrics=Metrics(),
        )
        self.limiter_by_entry[entry] = limiter
        limiter.on_configuration(self.configuration())
        await limiter.async_start()

    def controls_of(self, entry):
        own = self.region_by_id[entry]
        return sorted(
            (c for c in self.service_by_control if c not in self.gone),
            key=lambda c: (self.region_by_id[c] != own, crc32(f"{entry}{c}".encode())),
        )

    def configuration(self):
        routing = SimpleNamespace(workspace_by_name=dict(self.workspace_by_name))
        return SimpleNamespace(routing=routing)

    def confirm(self, control):
        if self.is_leaderless or control in self.isolated or control in self.frozen:
            return
        service = self.service_by_control[control]
        self.members_by_control[control] = list(self.members)
        self.confirmed_at_by_control[control] = service.clock.monotonic()
        service._update_share(service.clock.monotonic())

    async def async_confirm(self):
        while True:
            for control in self.service_by_control:
                if control not in self.gone:
                    self.confirm(control)
            await asyncio.sleep(CONFIRM_INTERVAL_S)

    async def async_carry(self, sender, receiver, message):
        """Carry a request to its receiver, and the answer back."""
        await self.async_travel(sender, receiver, message)
        await self.async_thawed(receiver)
        streams = self.streams_by_id[receiver]
        answer = await streams.handler_by_class[type(message)](sender, message)
        await self.async_travel(receiver, sender, answer)
        await self.async_thawed(sender)
        return answer

    async def async_travel(self, sender, receiver, message):
        self.counts["messages"] += 1
        packed = wire.pack(message)
        self.bytes += len(packed)
        assert wire.unpack(packed).ok == message
        near = self.region_by_id[sender] == self.region_by_id[receiver]
        delay_s = NEAR_S if near else FAR_S
        if self.random.random() < self.late_share:
            delay_s += self.random.uniform(0, 0.5)
        is_lost = self.random.random() < self.lost_share
        link = {(sender, receiver), (receiver, sender)}
        if is_lost or link & self.cut or {sender, receiver} & self.gone:
            await asyncio.sleep(3600)
        await asyncio.sleep(delay_s)

    async def async_thawed(self, instance):
        while instance in self.frozen:
            await asyncio.sleep(0.05)

    def set_quotas(self, quotas, *, late_s=0.0):
        """Change the quotas; each instance learns of it up to a time later."""
        self.workspace_by_name = {w.name: w for w in quotas}
        in_force = self.now + late_s
        self.quota_changes.append((in_force, dict(self.workspace_by_name)))
        configuration = self.configuration()
        instances = [*self.service_by_control.values(), *self.limiter_by_entry.values()]
        for instance in instances:
            delay_s = self.random.uniform(0, late_s)
            self.loop.call_later(delay_s, instance.on_configuration, configuration)

    def request(self, entry, name):
        task = self.loop.create_task(self.async_request(entry, name))
        self.admissions.add(task)
        task.add_done_callback(self.admissions.discard)

    async def async_request(self, entry, name):
        quota = self.workspace_by_name.get(name)
        if quota is None:
            return
        reference = self.reference_by_workspace.get(name)
        is_below = reference is not None and reference.take(self.now)
        await self.async_thawed(entry)
        limiter, asked_at = self.limiter_by_entry[entry], self.now
        now = limiter.clock.monotonic()
        decision = await limiter.async_admit(quota, now, TIME_LEFT_S)
        await self.async_thawed(entry)
        self.counts["requests"] += 1
        self.waits_s.append(self.now - asked_at)
        if not decision.is_admitted:
            self.rejection_waits_s.append(self.waits_s[-1])
            self.rejections.append((self.now, name, decision.failure))
            if is_below:
                self.wrongly_rejected.append((self.now, name, decision.failure))
            return
        # The forwarder sends nothing on a token that has ended meanwhile.
        if limiter.clock.monotonic() < decision.valid_until:
            self.sent_by_workspace[name].append(self.now)

    def replace(self, control, *, is_gone):
        """Replace a control instance that no longer hears of the others."""
        self.isolated.add(control)
        if is_gone:
            self.gone.add(control)
        new = f"c{self.controls_made}"
        self.controls_made += 1
        self.region_by_id[new] = self.region_by_id[control]
        self.members = [m for m in self.members if m != control] + [new]
        return new

    async def async_call(self, name, per_s, until):
        """Let a caller ask, at about even times, whichever entry instance."""
        await asyncio.sleep(self.random.uniform(0, 1 / per_s))
        while self.now < until:
            region = self.random.randrange(REGIONS)
            if self.random.random() < WAVE_SHARE:
                region = int(self.now / WAVE_S) % REGIONS
            entries = [e for e in self.entries if self.region_by_id[e] == region]
            if not self.is_idle:
                self.request(self.random.choice(entries), name)
            await asyncio.sleep(self.random.uniform(0.5, 1.5) / per_s)

    def start_callers(self, name, callers, per_s, until):
        """Start callers of a workspace.

        :param callers: Number of callers.
        :param per_s: Requests a second of each.
        :param until: Time at which they end, in seconds.
        """
        for _ in range(callers):
            self.tasks.append(
                self.loop.create_task(self.async_call(name, per_s, until))
            )

    def allowed(self, name, since, until):
        """Return how many requests may be sent between two times."""
        times = [at for at, _ in self.quota_changes]
        first = max(0, bisect_right(times, since) - 1)
        quotas = [
            by_name[name]
            for at, by_name in self.quota_changes[first:]
            if at <= until + 1e-9 and name in by_name
        ]
        # Until a change is in force everywhere, the next quota counts as well.
        following = self.quota_changes[bisect_right(times, until) :][:1]
        quotas += [by_name[name] for _, by_name in following if name in by_name]
        return max(
            (const.WINDOW_S * q.requests_per_s + q.burst) * (1 + const.OVERAGE)
            + const.SLACK
            for q in quotas
        )

    def excesses(self):
        """Return the windows in which more was sent than allowed."""
        for name, times in self.sent_by_workspace.items():
            for number, until in enumerate(times):
                begin = bisect_right(times, until - const.WINDOW_S)
                count = number + 1 - begin
                # A lower quota binds one window after it is in force.
                allowed = self.allowed(name, until - 2 * const.WINDOW_S, until)
                if count > allowed:
                    yield name, until, count, allowed
