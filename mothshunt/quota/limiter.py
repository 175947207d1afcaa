"""Observance of the quotas of workspaces at one entry instance."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from expression import Result

from mothshunt.configuration.model import Configuration
from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId, WorkspaceName
from mothshunt.helpers import log
from mothshunt.helpers.log import get_logger
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.metrics.registry import Metrics
from mothshunt.quota import const
from mothshunt.quota.holding import QuotaHolder, TokenDemand
from mothshunt.quota.log_events import QuotaRejections
from mothshunt.quota.messages import QuotaTokenReply, QuotaTokenRequest
from mothshunt.quota.model import (
    IssueState,
    QuotaDecision,
    TokenRequestResult,
)
from mothshunt.quota.usage import WorkspaceCounts
from mothshunt.routing.model import Workspace

_LOGGER = get_logger("quota")

_Waiter = asyncio.Future[QuotaDecision]


@dataclass(slots=True, eq=False)
class QuotaLimiter:
    """Observance of the quotas of workspaces at one entry instance.

    Requests of one workspace that wait for a token at the same time are asked for in
    one message.

    :param network: Streams to the control instances.
    :param controls: Returns the connected control instances, nearest first.
    :param clock: Source of the present time.
    :param metrics: Metrics of the process.
    :param holder: Tokens that are held.
    """

    network: PeerNetwork
    controls: Callable[[], Sequence[InstanceId]]
    clock: Clock
    metrics: Metrics
    holder: QuotaHolder = field(default_factory=QuotaHolder)
    _admitted: WorkspaceCounts = field(default_factory=WorkspaceCounts)
    _denied: WorkspaceCounts = field(default_factory=WorkspaceCounts)
    _requested: WorkspaceCounts = field(default_factory=WorkspaceCounts)
    _quota_by_workspace: Mapping[WorkspaceName, tuple[float, float]] = field(
        default_factory=dict
    )
    _waiters_by_workspace: dict[WorkspaceName, deque[_Waiter]] = field(
        default_factory=dict
    )
    _fetch_by_workspace: dict[WorkspaceName, asyncio.Task[None]] = field(
        default_factory=dict
    )
    _inquiries: set[asyncio.Task[None]] = field(default_factory=set)
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Start the periodic log lines."""
        for name, counts in (
            (const.METRIC_ADMITTED, self._admitted),
            (const.METRIC_DENIED, self._denied),
            (const.METRIC_REQUESTED, self._requested),
        ):
            self.metrics.counters(name, "workspace", counts.largest)
        self._task = start_background("quota", self._async_run)

    async def async_stop(self) -> None:
        """Stop the log lines and the requests for tokens."""
        await async_cancel(self._task)
        for task in (*self._fetch_by_workspace.values(), *self._inquiries):
            await async_cancel(task)

    def on_configuration(self, configuration: Configuration) -> None:
        """Take the quotas of a configuration that is now in force here.

        :param configuration: The configuration.
        """
        before = self._quota_by_workspace
        self._quota_by_workspace = {
            name: (workspace.requests_per_s, workspace.burst)
            for name, workspace in configuration.routing.workspace_by_name.items()
            if workspace.requests_per_s > 0
        }
        for name, quota in self._quota_by_workspace.items():
            if before.get(name) != quota:
                self.holder.forget_denials(name)
        if before:
            self.holder.retain(self._quota_by_workspace.keys())

    async def async_admit(
        self, workspace: Workspace, now: float, time_left_s: float
    ) -> QuotaDecision:
        """Decide whether a request of a workspace may be sent.

        :param workspace: The workspace.
        :param now: The present time, in seconds.
        :param time_left_s: Time left until the deadline of the request, in seconds.
        """
        name = workspace.name
        if workspace.requests_per_s <= 0:
            return QuotaDecision(workspace=name, valid_until=float("inf"))
        decision = self.holder.admit(name, self.controls(), now)
        if decision is None:
            decision = await self._async_wait(name, time_left_s)
        if decision.is_admitted:
            self._admitted.add(name)
            if self.holder.held(name).needs_prefetch(now):
                self._ensure_fetch(name)
        else:
            self._denied.add(name)
            self._inquire(name)
        return decision

    def give_back(self, decision: QuotaDecision) -> None:
        """Take back the token of a request that was not sent, for another request.

        :param decision: Decision by which the request was admitted.
        """
        if (
            decision.workspace in self._quota_by_workspace
            and self.clock.monotonic() < decision.valid_until
        ):
            self.holder.held(decision.workspace).give_back(decision.valid_until)

    async def _async_wait(
        self, workspace: WorkspaceName, time_left_s: float
    ) -> QuotaDecision:
        waiters = self._waiters_by_workspace.setdefault(workspace, deque())
        if len(waiters) >= const.MAX_WAITING:
            return self._rejection(workspace)
        waiter: _Waiter = asyncio.get_running_loop().create_future()
        waiters.append(waiter)
        self._ensure_fetch(workspace)
        timeout_s = min(const.MAX_WAIT_S, time_left_s * const.MAX_WAIT_SHARE)
        try:
            done, _ = await asyncio.wait({waiter}, timeout=timeout_s)
        except asyncio.CancelledError:
            # The caller has left; its token serves another request.
            if waiter.done() and waiter.result().is_admitted:
                self.give_back(waiter.result())
            else:
                _remove(waiters, waiter)
            raise
        if done:
            return waiter.result()
        _remove(waiters, waiter)
        return self._rejection(workspace)

    def _rejection(self, workspace: WorkspaceName) -> QuotaDecision:
        return self.holder.rejection(workspace, self.controls(), self.clock.monotonic())

    def _ensure_fetch(self, workspace: WorkspaceName) -> None:
        if workspace not in self._fetch_by_workspace:
            task = asyncio.create_task(self._async_fetch(workspace), name="quota-fetch")
            self._fetch_by_workspace[workspace] = task
            task.add_done_callback(_log_error)

    async def _async_fetch(self, workspace: WorkspaceName) -> None:
        """Ask for tokens until no request waits, or no control instance is left."""
        waiters = self._waiters_by_workspace.setdefault(workspace, deque())
        asked: set[InstanceId] = set()
        has_waited = False
        try:
            while True:
                now = self.clock.monotonic()
                demand = self.holder.next_demand(
                    workspace, self.controls(), asked, len(waiters), now
                )
                if demand is None:
                    wait_s = self.holder.wait_s(workspace, now) if waiters else None
                    if has_waited or wait_s is None:
                        self._reject_all(workspace, waiters, now)
                        return
                    await asyncio.sleep(wait_s)
                    has_waited = True
                    asked.clear()
                    continue
                if demand.needed + demand.extra and not await self._async_ask(
                    workspace, demand
                ):
                    asked.add(demand.control)
                self._serve(workspace, waiters)
                if not waiters:
                    return
        finally:
            del self._fetch_by_workspace[workspace]
            if not waiters:
                self._waiters_by_workspace.pop(workspace, None)

    def _inquire(self, workspace: WorkspaceName) -> None:
        """Ask distant control instances now and then whether they have tokens."""
        now = self.clock.monotonic()
        for control in self.holder.inquiries(workspace, self.controls(), now):
            task = asyncio.create_task(self._async_inquire(workspace, control))
            self._inquiries.add(task)
            task.add_done_callback(self._inquiries.discard)
            task.add_done_callback(_log_error)

    async def _async_inquire(
        self, workspace: WorkspaceName, control: InstanceId
    ) -> None:
        requested_at = self.clock.monotonic()
        request = QuotaTokenRequest(workspace=workspace, needed=0, extra=1)
        answer = await self.network.async_request(
            control, request, const.TOKEN_TIMEOUT_S
        )
        match answer:
            case Result(tag="ok", ok=QuotaTokenReply() as reply):
                self.holder.record_inquiry(workspace, reply.decision(), requested_at)
            case _:
                now = self.clock.monotonic()
                self.holder.sources.record_silence(control, now)
                self._count_result(TokenRequestResult.NO_ANSWER)

    async def _async_ask(self, workspace: WorkspaceName, demand: TokenDemand) -> bool:
        """Ask for tokens; return whether waiting requests got as many as they need."""
        requested_at = self.clock.monotonic()
        self._requested.add(workspace, demand.needed + demand.extra)
        request = QuotaTokenRequest(
            workspace=workspace, needed=demand.needed, extra=demand.extra
        )
        answer = await self.network.async_request(
            demand.control, request, const.TOKEN_TIMEOUT_S
        )
        now = self.clock.monotonic()
        match answer:
            case Result(tag="ok", ok=QuotaTokenReply() as reply):
                pass
            case _:
                self.holder.sources.record_silence(demand.control, now)
                self._count_result(TokenRequestResult.NO_ANSWER)
                return False
        self.metrics.observe(const.METRIC_TOKEN_SECONDS, now - requested_at)
        self.holder.record_reply(workspace, demand, reply.decision(), requested_at, now)
        is_granted = reply.granted >= demand.needed
        if reply.state is not IssueState.ISSUING:
            self._count_result(TokenRequestResult.NOT_ISSUED)
        elif not is_granted:
            self._count_result(TokenRequestResult.DENIED)
        else:
            self._count_result(TokenRequestResult.GRANTED)
        return is_granted

    def _count_result(self, result: TokenRequestResult) -> None:
        self.metrics.count(const.METRIC_TOKEN_REQUESTS, result=result.value)

    def _serve(self, workspace: WorkspaceName, waiters: deque[_Waiter]) -> None:
        held, now = self.holder.held(workspace), self.clock.monotonic()
        while waiters:
            until = held.take(now)
            if until is None:
                return
            waiters.popleft().set_result(
                QuotaDecision(workspace=workspace, valid_until=until)
            )

    def _reject_all(
        self, workspace: WorkspaceName, waiters: deque[_Waiter], now: float
    ) -> None:
        if not waiters:
            return
        controls = self.controls()
        self.holder.close(workspace, controls, now)
        decision = self.holder.rejection(workspace, controls, now)
        while waiters:
            waiters.popleft().set_result(decision)

    async def _async_run(self) -> None:
        admitted: Counter[WorkspaceName] = Counter()
        denied: Counter[WorkspaceName] = Counter()
        while True:
            await asyncio.sleep(const.REPORT_INTERVAL_S)
            rejected = self._denied.since(denied)
            if rejected.count_by_workspace:
                log.write(
                    QuotaRejections(
                        rejected_by_workspace=dict(rejected.largest()),
                        rejected=rejected.count_by_workspace.total(),
                        admitted=self._admitted.since(
                            admitted
                        ).count_by_workspace.total(),
                    )
                )
            admitted = self._admitted.count_by_workspace.copy()
            denied = self._denied.count_by_workspace.copy()


def _remove(waiters: deque[_Waiter], waiter: _Waiter) -> None:
    if waiter in waiters:
        waiters.remove(waiter)


def _log_error(task: asyncio.Task[None]) -> None:
    # Requests that still wait are rejected when their time is over.
    if not task.cancelled() and (error := task.exception()) is not None:
        _LOGGER.error("a request for tokens failed", error=repr(error))
