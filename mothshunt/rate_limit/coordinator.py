"""Rate limits of targets at one entry instance."""

import asyncio
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from mothshunt.core.clock import Clock
from mothshunt.core.types import TargetId
from mothshunt.helpers import log
from mothshunt.helpers.log_events import RateLimitChanged, RateLimitReport
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.metrics.registry import Metrics
from mothshunt.placement.model import RoutableTarget
from mothshunt.rate_limit import const
from mothshunt.rate_limit.model import RateLimit, RateLimitStatement
from mothshunt.rate_limit.state import RateLimits, is_material_change


@dataclass(slots=True, eq=False)
class RateLimiter:
    """Record of the rate limits that targets name, and of what is sent to them.

    :param clock: Source of the present time.
    :param metrics: Metrics of the process.
    :param limits: Limits that are known.
    """

    clock: Clock
    metrics: Metrics
    limits: RateLimits = field(default_factory=RateLimits)
    _sent_by_target: Counter[TargetId] = field(default_factory=Counter)
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Start the periodic reports."""
        self.metrics.gauge(
            const.METRIC_TARGETS, lambda: float(sum(1 for _ in self.limits.limited()))
        )
        self._task = start_background("rate-limit", self._async_run)

    async def async_stop(self) -> None:
        """Stop the periodic reports."""
        await async_cancel(self._task)

    def record_statement(
        self, target: RoutableTarget, statement: RateLimitStatement
    ) -> None:
        """Record what a response of a target states about its rate limit.

        :param target: The target, as it was when the request was sent.
        :param statement: The statement.
        """
        before = self.limits.per_s(target.id, target.incarnation)
        limit = RateLimit(
            incarnation=target.incarnation,
            per_s=statement.per_s,
            observed_at=self.clock.monotonic(),
        )
        is_newest = self.limits.record(target.id, limit)
        if is_newest and is_material_change(before, statement.per_s):
            log.write(
                RateLimitChanged(
                    target=target.id,
                    incarnation=target.incarnation,
                    per_s=statement.per_s,
                    before_per_s=before,
                )
            )

    def record_send(self, target: RoutableTarget) -> None:
        """Count a request that is sent to a target, if the target names a limit.

        :param target: The target.
        """
        if self.limits.per_s(target.id, target.incarnation) is None:
            return
        self._sent_by_target[target.id] += 1
        self.metrics.count(const.METRIC_SENDS, service=target.service)

    def reports(self) -> Iterator[RateLimitReport]:
        """Return a log event for each limited target used since the last call."""
        sent_by_target, self._sent_by_target = self._sent_by_target, Counter()
        for target, limit in self.limits.limited():
            if target in sent_by_target:
                yield RateLimitReport(
                    target=target, per_s=limit.per_s, sent=sent_by_target[target]
                )

    async def _async_run(self) -> None:
        while True:
            await asyncio.sleep(const.REPORT_INTERVAL_S)
            for report in self.reports():
                log.write(report)
