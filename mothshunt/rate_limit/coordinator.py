"""Exchange of rate limits and tokens between entry and control instances."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from expression import Result

from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId, TargetId
from mothshunt.helpers import log
from mothshunt.helpers.log_events import RateLimitChanged, RateLimitReport
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.metrics.registry import Metrics
from mothshunt.placement.model import Choice, RoutableTarget
from mothshunt.rate_limit import const
from mothshunt.rate_limit.messages import (
    RateLimitNews,
    RateLimitSeen,
    TokenReply,
    TokenRequest,
)
from mothshunt.rate_limit.model import RateLimit, RateLimitStatement, TokenResult
from mothshunt.rate_limit.state import (
    IncarnationByTarget,
    RateLimits,
    TokenIssuer,
    TokenSources,
    is_material_change,
)

MILLISECONDS_PER_SECOND = 1000


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
    sources: TokenSources = field(default_factory=TokenSources)
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
            seen = RateLimitSeen(
                target=target.id,
                incarnation=target.incarnation,
                per_s=statement.per_s,
                age_ms=0,
            )
            self.network.post_all(self.controls(), seen)

    def _record_announcement(self, target: TargetId, per_s: float | None) -> None:
        """Record what the control instances know of a limit from now on."""
        if per_s is None:
            self._announced_by_target.pop(target, None)
        else:
            self._announced_by_target[target] = per_s

    def _on_news(self, peer: InstanceId, news: RateLimitNews) -> None:
        now = self.clock.monotonic()
        limit = RateLimit(
            incarnation=news.incarnation,
            per_s=news.per_s,
            observed_at=now - news.age_ms / MILLISECONDS_PER_SECOND,
        )
        if self._record(news.target, limit, source=peer):
            self._record_announcement(news.target, news.per_s)

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
        request = TokenRequest(
            target=target,
            incarnation=limit.incarnation,
            per_s=limit.per_s,
            age_ms=_age_ms(limit, now),
        )
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
            self._on_news(control, reply.news)
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


@dataclass(slots=True, eq=False)
class TokenService:
    """Tokens and news of rate limits at one control instance.

    :param network: Streams to the entry instances.
    :param control_count: Returns the number of control instances, 0 while unknown.
    :param entries: Returns the entry instances that get each change at once.
    :param known: Returns the present incarnation of a target.
    :param clock: Source of the present time.
    :param metrics: Metrics of the process.
    :param issuer: Limits that are known and tokens that are left.
    """

    network: PeerNetwork
    control_count: Callable[[], int]
    entries: Callable[[], Iterable[InstanceId]]
    known: IncarnationByTarget
    clock: Clock
    metrics: Metrics
    issuer: TokenIssuer
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Answer entry instances, and forget targets that are gone."""
        self.network.on_message(RateLimitSeen, self._on_seen)
        self.network.on_request(TokenRequest, self._async_on_request)
        self._task = start_background("rate-limit-tokens", self._async_run)

    async def async_stop(self) -> None:
        """Stop to forget targets."""
        await async_cancel(self._task)

    async def _async_run(self) -> None:
        while True:
            await asyncio.sleep(const.REPORT_INTERVAL_S)
            self.issuer.remove_unknown(self.known)

    def limits(self) -> RateLimits:
        """Return the rate limits that are known here."""
        return self.issuer.limits

    def send_limits(self, entry: InstanceId) -> None:
        """Send all limits to an entry instance, such as one that has been restarted.

        :param entry: Name of the entry instance.
        """
        now = self.clock.monotonic()
        for target, limit in self.issuer.limits.limited():
            self.network.post(entry, _news(target, limit, now))

    def _share(self) -> float:
        """Return the share of each limit that this control instance issues."""
        count = self.control_count()
        return 1 / count if count else 0.0

    def _on_seen(self, peer: InstanceId, seen: RateLimitSeen) -> None:
        self._record(seen, self.clock.monotonic())

    def _record(self, seen: RateLimitSeen | TokenRequest, now: float) -> None:
        """Record a limit that an entry instance knows, and announce a change."""
        held = self.issuer.limits.get(seen.target, seen.incarnation)
        before = None if held is None else held.per_s
        limit = RateLimit(
            incarnation=seen.incarnation,
            per_s=seen.per_s,
            observed_at=now - seen.age_ms / MILLISECONDS_PER_SECOND,
        )
        is_newest = self.issuer.record(seen.target, limit, self._share(), now)
        if is_newest and is_material_change(before, limit.per_s):
            self.network.post_all(self.entries(), _news(seen.target, limit, now))

    async def _async_on_request(
        self, peer: InstanceId, request: TokenRequest
    ) -> TokenReply:
        now = self.clock.monotonic()
        self._record(request, now)
        decision = self.issuer.take_token(request.target, self._share(), now)
        self.metrics.count(
            const.METRIC_TOKENS,
            decision="granted" if decision.is_granted else "denied",
        )
        newest = self.issuer.limits.newest(request.target)
        return TokenReply(
            is_granted=decision.is_granted,
            retry_after_ms=round(decision.retry_after_s * MILLISECONDS_PER_SECOND),
            news=(
                _news(request.target, newest, now)
                if newest is not None and _is_news_to_requester(newest, request)
                else None
            ),
        )


def _is_news_to_requester(newest: RateLimit, request: TokenRequest) -> bool:
    # The same limit, sent back, would seem newer than it is by the way there and back.
    return newest.incarnation != request.incarnation or is_material_change(
        request.per_s, newest.per_s
    )


def _news(target: TargetId, limit: RateLimit, now: float) -> RateLimitNews:
    return RateLimitNews(
        target=target,
        incarnation=limit.incarnation,
        per_s=limit.per_s,
        age_ms=_age_ms(limit, now),
    )


def _age_ms(limit: RateLimit, now: float) -> int:
    return max(0, round((now - limit.observed_at) * MILLISECONDS_PER_SECOND))
