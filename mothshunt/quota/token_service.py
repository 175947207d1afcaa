"""Tokens of quotas at one control instance."""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from mothshunt.configuration.model import Configuration
from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId
from mothshunt.helpers import log
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.metrics.registry import Metrics
from mothshunt.quota import const
from mothshunt.quota.log_events import QuotaShareChanged
from mothshunt.quota.messages import QuotaTokenReply, QuotaTokenRequest
from mothshunt.quota.model import Quota
from mothshunt.quota.share import IssuerShare
from mothshunt.quota.state import QuotaIssuer
from mothshunt.quota.usage import WorkspaceCounts


@dataclass(slots=True, eq=False)
class QuotaTokenService:
    """Tokens of quotas at one control instance.

    :param network: Streams to the entry instances.
    :param members: Returns the names of the control instances, as known here.
    :param confirmed_at: Returns the time at which a majority last confirmed that what
        is known here is current, in seconds; ``None`` if none has yet.
    :param log_length: Returns the number of entries of the replicated log.
    :param clock: Source of the present time.
    :param metrics: Metrics of the process.
    :param share: Share of each quota that this instance issues.
    :param issuer: Tokens that are left.
    """

    network: PeerNetwork
    members: Callable[[], Collection[InstanceId]]
    confirmed_at: Callable[[], float | None]
    log_length: Callable[[], int]
    clock: Clock
    metrics: Metrics
    share: IssuerShare
    issuer: QuotaIssuer = field(default_factory=QuotaIssuer)
    _issued: WorkspaceCounts = field(default_factory=WorkspaceCounts)
    _share: float = 0.0
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Answer entry instances, and follow the number of control instances."""
        self.network.on_request(QuotaTokenRequest, self._async_on_request)
        self.metrics.gauge(const.METRIC_SHARE, lambda: self._share)
        self.metrics.counters(const.METRIC_ISSUED, "workspace", self._issued.largest)
        self._task = start_background("quota-tokens", self._async_run)

    async def async_stop(self) -> None:
        """Stop to follow the number of control instances."""
        await async_cancel(self._task)

    def on_log_opened(self) -> None:
        """Record whether the disk showed this instance as a control instance."""
        self.share.was_member = self.share.own_id in self.members()

    def on_configuration(self, configuration: Configuration) -> None:
        """Take the quotas of a configuration that is now in force here.

        :param configuration: The configuration.
        """
        workspaces = configuration.routing.workspace_by_name
        self.issuer.set_quotas(
            {
                name: Quota(per_s=workspace.requests_per_s, burst=workspace.burst)
                for name, workspace in workspaces.items()
            },
            self.clock.monotonic(),
        )

    async def _async_run(self) -> None:
        while True:
            await asyncio.sleep(
                const.SHARE_CHECK_INTERVAL_S
                if self.share.is_member
                else const.MEMBER_CHECK_INTERVAL_S
            )
            self._update_share(self.clock.monotonic())

    def _update_share(self, now: float) -> None:
        members = self.members()
        has_quotas = self.issuer.has_quotas
        self.share.record(
            members,
            self.confirmed_at(),
            now,
            log_length=self.log_length(),
            has_quotas=has_quotas,
        )
        share = self.share.share(now)
        starts_full = self.share.has_no_past(now)
        self.issuer.set_share(share, now, starts_full=starts_full)
        if share != self._share and has_quotas:
            log.write(
                QuotaShareChanged(share=share, before=self._share, members=len(members))
            )
        self._share = share

    async def _async_on_request(
        self, peer: InstanceId, request: QuotaTokenRequest
    ) -> QuotaTokenReply:
        now = self.clock.monotonic()
        # After a freeze of this instance, its share may have lapsed.
        self._update_share(now)
        decision = self.issuer.take_tokens(
            request.workspace, request.needed, request.extra, now
        )
        if decision.granted:
            self._issued.add(request.workspace, decision.granted)
        return QuotaTokenReply.from_decision(decision)
