"""Observance of the rate limits of targets at one entry instance."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from expression import Result

from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId, TargetId
from mothshunt.helpers import log
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.metrics.registry import Metrics
from mothshunt.placement.model import Choice, RoutableTarget
from mothshunt.rate_limit import const
from mothshunt.rate_limit.log_events import RateLimitChanged, RateLimitReport
from mothshunt.rate_limit.messages import (
    MILLISECONDS_PER_SECOND,
    LimitReport,
    RateLimitNews,
    RateLimitSeen,
    TokenReply,
    TokenRequest,
)
from mothshunt.rate_limit.model import RateLimit, RateLimitStatement, TokenResult
from mothshunt.rate_limit.state import (
    IncarnationByTarget,
    RateLimits,
    is_material_change,
)
from mothshunt.util.tokens import TokenSources


@dataclass(slots=True, eq=False)
class RateLimiter:
    """Observance of the rate limits of targets at one entry instance.

    A request to a target that names a limit needs a token of a control instance. The
    tokens of all control instances together add up to the limit, whichever entry
    instances use them.

    :param network: Streams to the control instances.
    :param controls: Returns the connected control instances, nearest first.
    :param known: Returns the present incarnation of a target.
    :param clock: Source of the present time.
    :param metrics: Metrics of the process.
    :param limits: Limits that are known.
    :param sources: Control instances that may have tokens.
    """

    network: PeerNetwork
    controls: Callable[[], Sequence[InstanceId]]
    known: IncarnationByTarget
    clock: Clock
    metrics: Metrics
    limits: RateLimits = field(default_factory=RateLimits)
    sources: TokenSources[TargetId] = field(default_factory=TokenSources)
    _announced_by_target: dict[TargetId, float] = field(default_factory=dict)
    _announced_at_by_target: dict[TargetId, float] = field(default_factory=dict)
    _pending_by_target: Counter[TargetId] = field(default_factory=Counter)
    _sent_by_target: Counter[TargetId] = field(default_factory=Counter)
    _denied_by_target: Counter[TargetId] = field(default_factory=Counter)
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Receive news of the control instances and start the periodic reports."""
        self.network.on_message(RateLimitNews, self._on_news)
        self.metrics.gauge(
            const.METRIC_TARGETS, lambda: float(sum(1 for _ in self.limits.limited()))
        )
        self._task = start_background("rate-limit", self._async_run)

    async def async_stop(self) -> None:
        """Stop the periodic reports."""
        await async_cancel(self._task)

    def has_limits(self) -> bool:
        """Whether any target may name a limit; see ``RateLimitView``."""
        return self.limits.has_any()

    def limit_per_s(self, target: RoutableTarget) -> float | None:
        """Return the rate limit of a target; see ``placement.model.RateLimitView``."""
        return self.limits.per_s(target.id, target.incarnation)

    def next_token_at(self, target: RoutableTarget) -> float | None:
        """Return when there may be a token; see ``placement.model.RateLimitView``."""
        return self.sources.next_token_at(target.id, self.controls())

    def record_statement(
        self, target: RoutableTarget, statement: RateLimitStatement
    ) -> None:
        """Record what a response of a target states about its rate limit.

        :param target: The target, as it was when the request was sent.
        :param statement: The statement.
        """
        now = self.clock.monotonic()
        limit = RateLimit(
            incarnation=target.incarnation, per_s=statement.per_s, observed_at=now
        )
        self._record(target.id, limit, source="response")
        announced = self._announced_by_target.get(target.id)
        announced_at = self._announced_at_by_target.get(target.id, float("-inf"))
        if (
            is_material_change(announced, statement.per_s)
            and now - announced_at >= const.MIN_ANNOUNCE_INTERVAL_S
        ):
            self._announced_at_by_target[target.id] = now
            self._record_announcement(target.id, statement.per_s)
            report = LimitReport.from_limit(target.id, limit, now)
            self.network.post_all(self.controls(), RateLimitSeen(report=report))

    def _record_announcement(self, target: TargetId, per_s: float | None) -> None:
        """Record what the control instances know of a limit from now on."""
        if per_s is None:
            self._announced_by_target.pop(target, None)
        else:
            self._announced_by_target[target] = per_s

    def _on_news(self, peer: InstanceId, news: RateLimitNews) -> None:
        self._record_report(news.report, source=peer)

    def _record_report(self, report: LimitReport, *, source: InstanceId) -> None:
        limit = report.limit(self.clock.monotonic())
        if self._record(report.target, limit, source=source):
            self._record_announcement(report.target, report.per_s)

    def _record(self, target: TargetId, limit: RateLimit, *, source: str) -> bool:
        before = self.limits.per_s(target, limit.incarnation)
        if not self.limits.record(target, limit):
            return False
        if is_material_change(before, limit.per_s):
            self.sources.forget_denials(target)
            log.write(
                RateLimitChanged(
                    target=target,
                    incarnation=limit.incarnation,
                    per_s=limit.per_s,
                    before_per_s=before,
                    source=source,
                )
            )
        return True

    async def async_take_token(self, choice: Choice, time_left_s: float) -> bool:
        """Get a token for a request to a target that names a rate limit.

        :param choice: The chosen target; it may be sent the request until the time that
            is recorded in ``token_until``.
        :param time_left_s: Time left until the deadline of the request, in seconds.
        :return: Whether the request may be sent.
        """
        target = choice.target
        limit = self.limits.get(target.id, target.incarnation)
        if limit is None or limit.per_s is None:
            return True
        result = await self._async_request_token(choice, limit, time_left_s)
        self.metrics.count(const.METRIC_TOKEN_REQUESTS, result=result.value)
        if result is not TokenResult.GRANTED:
            self._denied_by_target[target.id] += 1
        return result is TokenResult.GRANTED

    async def _async_request_token(
        self, choice: Choice, limit: RateLimit, time_left_s: float
    ) -> TokenResult:
        target, now = choice.target.id, self.clock.monotonic()
        control = self.sources.choose_control(target, self.controls(), now)
        if (
            control is None
            or limit.per_s is None
            or self._pending_by_target[target] >= const.MAX_PENDING_REQUESTS
        ):
            return TokenResult.NOT_REQUESTED
        request = TokenRequest(report=LimitReport.from_limit(target, limit, now))
        timeout_s = min(const.TOKEN_TIMEOUT_S, time_left_s * const.TOKEN_TIMEOUT_SHARE)
        self._pending_by_target[target] += 1
        try:
            answer = await self.network.async_request(control, request, timeout_s)
        finally:
            self._pending_by_target[target] -= 1
            if not self._pending_by_target[target]:
                del self._pending_by_target[target]
        answered_at = self.clock.monotonic()
        match answer:
            case Result(tag="ok", ok=TokenReply() as reply):
                pass
            case _:
                if timeout_s >= const.TOKEN_TIMEOUT_S:
                    self.sources.record_silence(control, answered_at)
                return TokenResult.NO_ANSWER
        self.metrics.observe(const.METRIC_TOKEN_SECONDS, answered_at - now)
        if reply.news is not None:
            self._record_report(reply.news, source=control)
        if not reply.is_granted:
            retry_after_s = reply.retry_after_ms / MILLISECONDS_PER_SECOND
            self.sources.record_denial(target, control, answered_at + retry_after_s)
            return TokenResult.DENIED
        # The lifetime begins before the control instance issued the token.
        choice.token_until = now + const.TOKEN_LIFETIME_S
        # The wait for the token is no part of the target's service time.
        choice.sent_at = answered_at
        return TokenResult.GRANTED

    def may_send(self, choice: Choice, now: float) -> bool:
        """Whether a request may be sent to its target as far as the limit is concerned.

        :param choice: The chosen target.
        :param now: The present time, in seconds.
        """
        return self.limit_per_s(choice.target) is None or now < choice.token_until

    def record_send(self, target: RoutableTarget) -> None:
        """Count a request that is sent to a target, if the target names a limit.

        :param target: The target.
        """
        if self.limit_per_s(target) is None:
            return
        self._sent_by_target[target.id] += 1
        self.metrics.count(const.METRIC_SENDS, service=target.service)

    def reports(self) -> Iterator[RateLimitReport]:
        """Return a log event for each limited target used since the last call."""
        sent_by_target, self._sent_by_target = self._sent_by_target, Counter()
        denied_by_target, self._denied_by_target = self._denied_by_target, Counter()
        for target, limit in self.limits.limited():
            if target in sent_by_target or target in denied_by_target:
                yield RateLimitReport(
                    target=target,
                    per_s=limit.per_s,
                    sent=sent_by_target[target],
                    denied=denied_by_target[target],
                )

    async def _async_run(self) -> None:
        while True:
            await asyncio.sleep(const.REPORT_INTERVAL_S)
            for report in self.reports():
                log.write(report)
            self.remove_unknown()

    def remove_unknown(self) -> None:
        """Forget targets that have been removed or restarted."""
        for target in self.limits.remove_unknown(self.known):
            self.sources.forget_denials(target)
            self._announced_by_target.pop(target, None)
            self._announced_at_by_target.pop(target, None)
