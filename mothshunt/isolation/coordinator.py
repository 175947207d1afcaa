"""Detection of the isolation of an entry instance, and its relays."""

import asyncio
import random as random_module
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Any

from aiohttp import web
from multidict import CIMultiDict

from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.types import InstanceId, InstanceState, Ran
from mothshunt.dispatch.request import end_to_end_headers
from mothshunt.forwarding.attempt import OutgoingRequest
from mothshunt.forwarding.connections import ConnectionPool
from mothshunt.forwarding.retry import RetryBudget, RetryState
from mothshunt.helpers import log
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.isolation import codes, const
from mothshunt.isolation.choice import may_withdraw, relay_candidates
from mothshunt.isolation.log_events import IsolationBegan, IsolationEnded, Withdrawn
from mothshunt.isolation.model import Path, Phase, RequestResult, Surroundings
from mothshunt.isolation.relay import RelayClient, RelayRequest
from mothshunt.isolation.state import AttemptPlace, IsolationState
from mothshunt.membership.roster_messages import EntryRow
from mothshunt.membership.roster_view import RosterView
from mothshunt.metrics.registry import Metrics
from mothshunt.placement.model import AttemptOutcome, Choice, RoutableTarget
from mothshunt.placement.state import Placement

#: Outcomes that a response of some target stands behind.
_RESPONDED = frozenset(
    {
        AttemptOutcome.ANSWERED,
        AttemptOutcome.ERROR_ANSWER,
        AttemptOutcome.SHED,
        AttemptOutcome.MISDIRECTED,
    }
)
_FAILED = frozenset(
    {AttemptOutcome.CONNECT_FAILED, AttemptOutcome.BROKEN, AttemptOutcome.TIMED_OUT}
)
#: Failures after which an entry instance isn't used for a while.
_AVOIDED = frozenset(
    {codes.ENTRY_ISOLATED, codes.RELAY_UNREACHABLE, codes.RELAY_BROKEN}
)


@dataclass(slots=True, eq=False)
class EntryIsolation:
    """Isolation of one entry instance; an ``Isolation``.

    :param placement: Targets that are known.
    :param roster: Entry instances that are known.
    :param target_pool: Connections to targets.
    :param relay_client: Client towards other entry instances.
    :param budget: Budget for extra attempts.
    :param slack_part: Returns this instance's fraction of the budget's slack.
    :param set_reported_state: Changes the state that the others know of.
    :param metrics: Metrics of the process.
    :param clock: Source of the present time.
    """

    placement: Placement
    roster: RosterView
    target_pool: ConnectionPool
    relay_client: RelayClient
    budget: RetryBudget
    slack_part: Callable[[float], float]
    set_reported_state: Callable[[InstanceState], None]
    metrics: Metrics
    clock: Clock
    state: IsolationState = field(default_factory=IsolationState)
    random: random_module.Random = field(default_factory=random_module.Random)
    _isolated: asyncio.Event = field(default_factory=asyncio.Event)
    _avoided_until_by_id: dict[InstanceId, float] = field(default_factory=dict)
    _withdraw_at: float = 0.0
    _is_withdrawn: bool = False
    _may_withdraw: bool = False
    _relayed: int = 0
    _refused: int = 0
    _background: set["asyncio.Task[RequestResult]"] = field(default_factory=set)
    _connect_at: float = 0.0
    _connecting: "asyncio.Task[None] | None" = None
    _task: "asyncio.Task[None] | None" = None

    async def async_start(self) -> None:
        """Start to compute the state at intervals."""
        self.metrics.gauge(const.METRIC_ISOLATED, lambda: float(self.is_isolated))
        self.state.tracker.last_contact_at = self.clock.monotonic()
        await self.relay_client.pool.async_start()
        self._task = start_background("isolation", self._async_run)

    async def async_stop(self) -> None:
        """Stop, and close the connections to other entry instances."""
        await async_cancel(self._task)
        await async_cancel(self._connecting)
        for task in list(self._background):
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        await self.relay_client.pool.async_stop()

    @property
    def is_isolated(self) -> bool:
        """Whether no target can be reached at present."""
        return self.state.phase is Phase.ISOLATED

    def isolation_failure(self) -> Failure:
        """Return the reason against further attempts while isolated."""
        retry_after_s = const.RETRY_S * self.random.uniform(1.0, 2.0)
        return Failure(code=codes.ENTRY_ISOLATED, retry_after_s=retry_after_s)

    def record_start(self, choice: Choice) -> None:
        """Record the start of an attempt.

        :param choice: Target of the attempt.
        """
        target = choice.target
        place = AttemptPlace(target.id, target.service, target.availability_zone)
        expected_s = max(choice.expected_s, choice.unknown_object_s)
        now = self.clock.monotonic()
        self.state.tracker.record_start(id(choice), place, expected_s, now)

    def record_end(self, choice: Choice, outcome: AttemptOutcome) -> None:
        """Record the end of an attempt.

        :param choice: Target of the attempt.
        :param outcome: How it ended.
        """
        tracker, now = self.state.tracker, self.clock.monotonic()
        if outcome in _RESPONDED:
            tracker.record_response(id(choice), now)
        elif outcome in _FAILED:
            tracker.record_failure(id(choice), now)
        else:
            tracker.record_cancelled(id(choice))
            return
        if outcome in _FAILED or self.state.phase is not Phase.CONNECTED:
            self._update(now)

    async def async_run(
        self,
        request: web.Request,
        outgoing: OutgoingRequest,
        retry_state: RetryState,
        run: Callable[[], Awaitable[RequestResult]],
    ) -> RequestResult:
        """Return the response for the caller, from targets or by relay.

        :param request: Request of the caller.
        :param outgoing: The request as it is sent to targets.
        :param retry_state: State from which retries are decided.
        :param run: Makes attempts at targets.
        """
        if self.relay_client.names.relayed in request.headers:
            # A request is relayed once; this instance serves it or refuses it.
            return self.isolation_failure() if self.is_isolated else await run()
        relay = RelayRequest(
            outgoing=outgoing,
            headers=_relayed_headers(request, self.relay_client),
            sender=self.roster.own.instance,
        )
        path = self._path(relay)
        if path is Path.RELAY:
            return await self._async_relay(relay, retry_state)
        if outgoing.routed.route.is_idempotent and outgoing.body.buffered is not None:
            result = await self._async_run_hedged(relay, retry_state, run, path)
        else:
            result = await run()
        if not isinstance(result, Failure) or not self._may_relay(relay, retry_state):
            return result
        return await self._async_relay(relay, retry_state)

    def _path(self, relay: RelayRequest) -> Path:
        routed, now = relay.outgoing.routed, self.clock.monotonic()
        path = self.state.path(
            is_idempotent=routed.route.is_idempotent
            and relay.outgoing.body.buffered is not None,
            now=now,
            random=self.random,
        )
        if path is not Path.TRIAL:
            return path
        # A trial that is relayed as well is an extra attempt.
        if not self.budget.take(routed.service, self.slack_part(now), now):
            return Path.RELAY
        self.metrics.count(const.METRIC_TRIALS)
        return path

    async def _async_run_hedged(
        self,
        relay: RelayRequest,
        retry_state: RetryState,
        run: Callable[[], Awaitable[RequestResult]],
        path: Path,
    ) -> RequestResult:
        """Make attempts at targets, and a relay as well if these can't be reached."""
        running = asyncio.ensure_future(run())
        is_overtaken = False
        try:
            if not await self._async_needs_relay(relay, running, path):
                return await running
            relayed = await self._async_relay(relay, retry_state)
            if isinstance(relayed, Failure):
                return await running
            is_overtaken = True
            return relayed
        finally:
            if is_overtaken and path is Path.TRIAL:
                # Its response ends the isolation, also after the relayed one.
                self._finish_in_background(running)
            elif not running.done():
                running.cancel()
            elif is_overtaken:
                _discard(running)

    async def _async_needs_relay(
        self,
        relay: RelayRequest,
        running: "asyncio.Future[RequestResult]",
        path: Path,
    ) -> bool:
        """Wait until attempts at targets end, or a relay is due and allowed."""
        if path is Path.TRIAL:
            await asyncio.wait([running], timeout=const.TRIAL_WAIT_S)
            return not running.done()
        isolated = asyncio.ensure_future(self._isolated.wait())
        waited: list[asyncio.Future[Any]] = [running, isolated]
        try:
            await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
        finally:
            isolated.cancel()
        if running.done():
            return False
        routed, now = relay.outgoing.routed, self.clock.monotonic()
        return self.budget.take(routed.service, self.slack_part(now), now)

    def _finish_in_background(self, running: "asyncio.Future[RequestResult]") -> None:
        if running.done():
            _discard(running)
            return
        assert isinstance(running, asyncio.Task)
        self._background.add(running)
        running.add_done_callback(self._background.discard)
        running.add_done_callback(_discard)

    def _may_relay(self, relay: RelayRequest, retry_state: RetryState) -> bool:
        """Whether a request without a response from targets may be relayed."""
        routed, now = relay.outgoing.routed, self.clock.monotonic()
        if not self.is_isolated or relay.outgoing.body.is_consumed:
            return False
        if retry_state.targets_tried >= retry_state.max_attempts:
            return False
        if retry_state.ran is Ran.NO:
            return True
        return routed.route.is_idempotent and self.budget.take(
            routed.service, self.slack_part(now), now
        )

    async def _async_relay(
        self, relay: RelayRequest, retry_state: RetryState
    ) -> RequestResult:
        """Relay a request to one entry instance after another until one serves it.

        :param relay: The request.
        :param retry_state: State of the attempts here; what they leave of the allowed
            attempts is used by the relays.
        """
        routed = relay.outgoing.routed
        ran, failure = retry_state.ran, self.isolation_failure()
        attempts_left = retry_state.take_attempts_left()
        for entry in self._candidates(relay):
            if routed.deadline - self.clock.monotonic() < const.MIN_RELAY_S:
                break
            if attempts_left < 1:
                break
            # A relay that is lost may have used all of its attempts; a request that may
            # run twice keeps one for another relay.
            attempts = attempts_left
            if routed.route.is_idempotent and attempts > 1:
                attempts -= 1
            result = await self.relay_client.async_send(relay, entry, attempts)
            if not isinstance(result, Failure):
                self._relayed += 1
                self.metrics.count(const.METRIC_RELAYS, outcome="answered")
                return result
            self.metrics.count(const.METRIC_RELAYS, outcome=result.code.name)
            if result.code in _AVOIDED:
                until = self.clock.monotonic() + const.AVOID_S
                self._avoided_until_by_id[entry.instance] = until
            if result.ran is Ran.UNKNOWN:
                ran, failure = Ran.UNKNOWN, result
                attempts_left -= attempts
                if not routed.route.is_idempotent:
                    break
            if relay.outgoing.body.is_consumed:
                break
        self._refused += 1
        return replace(failure, ran=ran)

    def _candidates(self, relay: RelayRequest) -> list[EntryRow]:
        now = self.clock.monotonic()
        return relay_candidates(
            (entry.row for entry in self.roster.ready_entries(now)),
            self.roster.own.row,
            relay.outgoing.routed.home_regions,
            self._avoided_until_by_id,
            now,
            self.random,
        )

    async def _async_run(self) -> None:
        while True:
            now = self.clock.monotonic()
            self.state.tracker.tick(now)
            self.state.tracker.record_received(self.target_pool.last_received_at)
            self._update(now)
            if self.state.phase is not Phase.CONNECTED:
                self._update_look_ups(now)
                self._try_connection(now)
            await asyncio.sleep(const.TICK_INTERVAL_S)

    def _update(self, now: float) -> None:
        before = self.state.phase
        if before is Phase.CONNECTED:
            quiet_s = now - self.state.tracker.last_contact_at
            if quiet_s < const.MIN_QUIET_S:
                return
        if self.state.update(self._surroundings(), now):
            self._on_phase(before, now)

    def _surroundings(self) -> Surroundings:
        own_region = self.roster.own.region
        targets = [load.target for load in self.placement.load_by_target.values()]
        near = [target for target in targets if target.region == own_region]
        counted = near if len(near) >= const.MIN_KNOWN_TARGETS else targets
        zones = {target.availability_zone for target in counted}
        return Surroundings(targets=len(counted), zones=len(zones))

    def _on_phase(self, before: Phase, now: float) -> None:
        """Apply a change of the phase."""
        match self.state.phase:
            case Phase.ISOLATED:
                self._isolated.set()
                self.state.plan_trial(now, self.random)
                # A survivor of the partition may hold a request back for long.
                self.target_pool.distrust_open()
                if before is Phase.CONNECTED:
                    self._begin(now)
            case Phase.RECOVERING:
                self._isolated.clear()
                self.target_pool.distrust_open()
                for load in self.placement.load_by_target.values():
                    load.forgive_failures()
            case Phase.CONNECTED:
                self._end(now)

    def _begin(self, now: float) -> None:
        tracker = self.state.tracker
        evidence = tracker.evidence(now)
        self._relayed = self._refused = 0
        self._may_withdraw = True
        delay_s = self.random.uniform(0.0, const.MAX_WITHDRAWAL_DELAY_S)
        self._withdraw_at = now + delay_s
        self.metrics.count(const.METRIC_BEGUN)
        log.write(
            IsolationBegan(
                quiet_ms=int((now - tracker.last_contact_at) * 1000),
                targets=evidence.targets,
                nats=round(evidence.nats, 1),
                relays=len(self.roster.ready_entries(now)) - 1,
            )
        )

    def _end(self, now: float) -> None:
        self._avoided_until_by_id.clear()
        self._may_withdraw = False
        self._set_withdrawn(False)
        log.write(
            IsolationEnded(
                lasted_ms=int((now - self.state.began_at) * 1000),
                relayed=self._relayed,
                refused=self._refused,
            )
        )

    def _update_look_ups(self, now: float) -> None:
        """Withdraw from look-ups, unless these would name no instance of the region."""
        rows = [entry.row for entry in self.roster.ready_entries(now)]
        is_replaceable = may_withdraw(rows, self.roster.own.row)
        if self._is_withdrawn and not is_replaceable:
            # Once is enough: instances of a region that withdraw and return by turns
            # would all be named and not named at the same times.
            self._may_withdraw = False
            self._set_withdrawn(False)
        elif self._may_withdraw and is_replaceable and now >= self._withdraw_at:
            self._set_withdrawn(True)

    def _set_withdrawn(self, is_withdrawn: bool) -> None:
        own = self.roster.own.state
        wanted = InstanceState.STARTING if is_withdrawn else InstanceState.READY
        if is_withdrawn is self._is_withdrawn or own is InstanceState.LEAVING:
            return
        self._is_withdrawn = is_withdrawn
        self.set_reported_state(wanted)
        log.write(Withdrawn(is_withdrawn=is_withdrawn))

    def _try_connection(self, now: float) -> None:
        """Open a connection to one target and close it, at a low rate."""
        is_trying = self._connecting is not None and not self._connecting.done()
        if not self.is_isolated or now < self._connect_at or is_trying:
            return
        jitter = self.random.uniform(1 - const.TRIAL_JITTER, 1 + const.TRIAL_JITTER)
        self._connect_at = now + const.TRIAL_INTERVAL_S * jitter
        targets = [load.target for load in self.placement.load_by_target.values()]
        if targets:
            target = self.random.choice(targets)
            self._connecting = asyncio.create_task(self._async_connect(target))

    async def _async_connect(self, target: RoutableTarget) -> None:
        if not await self.target_pool.async_can_connect(target):
            return
        load = self.placement.load_by_target.get(target.id)
        if load is not None:
            # The next trial request may go there.
            load.forgive_failures()
        now, before = self.clock.monotonic(), self.state.phase
        if self.state.record_open_connection(now):
            self._on_phase(before, now)


def _relayed_headers(request: web.Request, client: RelayClient) -> CIMultiDict[str]:
    """Return the header fields of a caller that the relay sends unchanged."""
    headers = end_to_end_headers(request.headers)
    for name in (client.names.deadline_ms, "Expect", "Content-Length"):
        headers.popall(name, None)
    return headers


def _discard(ended: "asyncio.Future[RequestResult]") -> None:
    """Close the connection of a streamed response that no caller gets."""
    if ended.cancelled() or ended.exception() is not None:
        return
    result = ended.result()
    if not isinstance(result, Failure) and result.response.buffered_body is None:
        result.response.connection.abort()
