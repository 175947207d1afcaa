"""Operations on targets that renew themselves."""

from expression import Error, Ok, Result

from mothshunt.access.model import AccessRole
from mothshunt.admin.const import ATTR_TARGET, MS_PER_S
from mothshunt.admin.instances import address_text
from mothshunt.admin.messages import Call, Refusal, Reply, Route, Scope
from mothshunt.admin.parameters import ReadQuery
from mothshunt.admin.routing_model import (
    LeaveBody,
    LeaveDocument,
    RegisteredTargetDocument,
    RegisteredTargetList,
    RenewalDocument,
)
from mothshunt.core.clock import Clock
from mothshunt.core.types import TargetId
from mothshunt.rate_limit.state import RateLimits
from mothshunt.registry.intake import TargetIntake
from mothshunt.registry.messages import Renewal
from mothshunt.registry.state import KnownTarget
from mothshunt.settings.config import RoutingSettings


class TargetHandlers:
    """Take what targets say of themselves.

    :param intake: Takes renewals and leaves.
    :param rate_limits: Rate limits that targets name.
    :param settings: How the deployment routes.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        *,
        intake: TargetIntake,
        rate_limits: RateLimits,
        settings: RoutingSettings,
        clock: Clock,
    ) -> None:
        self._intake = intake
        self._rate_limits = rate_limits
        self._settings = settings
        self._clock = clock

    def routes(self) -> tuple[Route, ...]:
        """Return the operations of this module."""
        return (
            Route(
                method="GET",
                path="/v1/targets",
                summary="List the targets that this instance knows.",
                role=AccessRole.READ,
                scope=Scope.DEPLOYMENT,
                handler=self._async_list,
                answer=RegisteredTargetList,
            ),
            Route(
                method="POST",
                path="/v1/targets",
                summary="Renew a target; targets send this at each interval.",
                role=AccessRole.READ,
                scope=Scope.OPEN,
                handler=self._async_renew,
                body=Renewal,
                answer=RenewalDocument,
            ),
            Route(
                method="DELETE",
                path="/v1/targets/{target}",
                summary="Record that a target has left.",
                role=AccessRole.READ,
                scope=Scope.OPEN,
                handler=self._async_leave,
                body=LeaveBody,
                answer=LeaveDocument,
            ),
        )

    async def _async_list(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        now = self._clock.monotonic()
        known = self._intake.publisher.follower.registry.known_by_target.values()
        documents = sorted(
            (self._target_document(target, now) for target in known),
            key=lambda document: (document.service, document.target),
        )
        return Ok(Reply(body=RegisteredTargetList(targets=tuple(documents))))

    async def _async_renew(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        renewal = call.document(Renewal)
        if renewal.is_error():
            return Error(renewal.error)
        renewed = await self._intake.async_renew(renewal.ok)
        if renewed.is_error():
            return Error(Refusal(failure=renewed.error))
        interval_ms = int(self._settings.renewal_interval_s * MS_PER_S)
        return Ok(Reply(body=RenewalDocument(renew_after_ms=interval_ms)))

    async def _async_leave(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        body = call.document(LeaveBody)
        if body.is_error():
            return Error(body.error)
        target = TargetId(call.path_values[ATTR_TARGET])
        left = await self._intake.async_leave(target, body.ok.incarnation, call.receipt)
        if left.is_error():
            return Error(Refusal(failure=left.error))
        return Ok(Reply(body=LeaveDocument()))

    def _target_document(
        self, known: KnownTarget, now: float
    ) -> RegisteredTargetDocument:
        renewal = known.renewal
        return RegisteredTargetDocument(
            target=renewal.target,
            incarnation=renewal.incarnation,
            service=renewal.service,
            address=address_text(renewal.host, renewal.port),
            region=renewal.region,
            availability_zone=renewal.availability_zone,
            release=renewal.release,
            slots=renewal.slots,
            state=renewal.state.value,
            age_s=max(0.0, now - known.renewed_at),
            cold_s=max(0.0, known.cold_until - now),
            rate_limit_per_s=self._rate_limits.per_s(
                renewal.target, renewal.incarnation
            ),
        )
