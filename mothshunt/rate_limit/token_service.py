"""Tokens and news of rate limits at one control instance."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.metrics.registry import Metrics
from mothshunt.rate_limit import const
from mothshunt.rate_limit.messages import (
    MILLISECONDS_PER_SECOND,
    LimitReport,
    RateLimitNews,
    RateLimitSeen,
    TokenReply,
    TokenRequest,
)
from mothshunt.rate_limit.model import RateLimit
from mothshunt.rate_limit.state import (
    IncarnationByTarget,
    RateLimits,
    TokenIssuer,
    is_material_change,
)


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
            report = LimitReport.from_limit(target, limit, now)
            self.network.post(entry, RateLimitNews(report=report))

    def _share(self) -> float:
        """Return the share of each limit that this control instance issues."""
        count = self.control_count()
        return 1 / count if count else 0.0

    def _on_seen(self, peer: InstanceId, seen: RateLimitSeen) -> None:
        self._record_report(seen.report, self.clock.monotonic())

    def _record_report(self, report: LimitReport, now: float) -> None:
        """Record a limit that an entry instance knows, and announce a change."""
        before = self.issuer.limits.per_s(report.target, report.incarnation)
        limit = report.limit(now)
        is_newest = self.issuer.record(report.target, limit, self._share(), now)
        if is_newest and is_material_change(before, limit.per_s):
            self.network.post_all(self.entries(), RateLimitNews(report=report))

    async def _async_on_request(
        self, peer: InstanceId, request: TokenRequest
    ) -> TokenReply:
        now, report = self.clock.monotonic(), request.report
        self._record_report(report, now)
        decision = self.issuer.take_token(report.target, self._share(), now)
        self.metrics.count(
            const.METRIC_TOKENS,
            decision="granted" if decision.is_granted else "denied",
        )
        newest = self.issuer.limits.newest(report.target)
        news = None
        if newest is not None and _is_news_to_requester(newest, report):
            news = LimitReport.from_limit(report.target, newest, now)
        return TokenReply(
            is_granted=decision.is_granted,
            retry_after_ms=round(decision.retry_after_s * MILLISECONDS_PER_SECOND),
            news=news,
        )


def _is_news_to_requester(newest: RateLimit, known: LimitReport) -> bool:
    # The same limit, sent back, would seem newer than it is by the way there and back.
    return newest.incarnation != known.incarnation or is_material_change(
        known.per_s, newest.per_s
    )
