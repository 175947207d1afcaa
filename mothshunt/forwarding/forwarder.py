"""Entry point of forwarding: from a caller's request to its response."""

import asyncio
from collections.abc import Callable

from aiohttp import HttpVersion11, web
from aiohttp.http_parser import RawRequestMessage
from multidict import CIMultiDict, CIMultiDictProxy

from mothshunt.configuration.model import ConfigurationSource
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.types import Ran, RequestId
from mothshunt.dispatch import codes as dispatch_codes
from mothshunt.dispatch.body import async_read_body
from mothshunt.dispatch.request import end_to_end_headers
from mothshunt.forwarding import codes, const
from mothshunt.forwarding.attempt import OutgoingRequest, TargetClient
from mothshunt.forwarding.authentication import (
    AUTHORIZATION,
    REJECTION_CODES,
    sent_digest_prefix,
)
from mothshunt.forwarding.connections import ConnectionPool
from mothshunt.forwarding.decisions import RequestLog
from mothshunt.forwarding.model import RoutedRequest
from mothshunt.forwarding.opening import AdmissionGate
from mothshunt.forwarding.pipelining import async_wait_for_turn
from mothshunt.forwarding.refusal import RefusalBuilder
from mothshunt.forwarding.request import (
    MAX_REQUEST_ID_LENGTH,
    max_attempts,
    read_request,
    stated_time_left_s,
    target_headers,
)
from mothshunt.forwarding.retry import RetryBudget, RetryState
from mothshunt.forwarding.streaming import AnswerBrokenOffError, BodyStream
from mothshunt.forwarding.trier import AttemptCoordinator
from mothshunt.forwarding.tries import ChosenResponse
from mothshunt.forwarding.workspace_metrics import WorkspaceCounters
from mothshunt.helpers.transports import break_off_response
from mothshunt.isolation.model import Isolation
from mothshunt.metrics.registry import Metrics
from mothshunt.placement.coordinator import PlacementCoordinator
from mothshunt.quota.limiter import QuotaLimiter
from mothshunt.quota.model import QuotaDecision
from mothshunt.rate_limit.limiter import RateLimiter
from mothshunt.routing.model import RoutingTable, Workspace
from mothshunt.routing.split import WeightedSplit

#: In characters.
MAX_LOGGED_HOST_LENGTH = 80
_NOT_READY = Failure(code=codes.NOT_READY, retry_after_s=const.NOT_READY_RETRY_S)


class RoutedForwarder:
    """Handler that forwards callers' requests to targets according to the routes.

    :param configuration: Source of the routes in force.
    :param is_current: Whether the configuration is known to be current at a given time.
    :param placement: Chooses targets.
    :param rate_limiter: Rate limits that targets name.
    :param quota: Quotas of workspaces; ``None`` if they don't apply.
    :param pool: Connections to targets.
    :param budget: Budget for retries and hedged attempts.
    :param slack_part: Returns this instance's fraction of the budget's slack at a given
        time.
    :param refusal_builder: Builds the responses to refused requests.
    :param admission: Holds requests until this instance serves.
    :param isolation: Relays requests while this instance reaches no target.
    :param metrics: Metrics of the process.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationSource,
        is_current: Callable[[float], bool],
        placement: PlacementCoordinator,
        rate_limiter: RateLimiter,
        quota: QuotaLimiter | None = None,
        pool: ConnectionPool,
        budget: RetryBudget,
        slack_part: Callable[[float], float],
        refusal_builder: RefusalBuilder,
        admission: AdmissionGate,
        isolation: Isolation,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._is_current = is_current
        self._refusal_builder = refusal_builder
        self._admission = admission
        self._isolation = isolation
        self._metrics = metrics
        self._clock = clock
        self._quota = quota
        self._split = WeightedSplit()
        self._request_log = RequestLog(metrics)
        self._workspace_counters = WorkspaceCounters.from_metrics(metrics)
        self._attempts = AttemptCoordinator(
            configuration=configuration,
            placement=placement,
            rate_limiter=rate_limiter,
            target_client=TargetClient(
                pool=pool,
                placement=placement,
                rate_limiter=rate_limiter,
                names=refusal_builder.names,
                clock=clock,
            ),
            budget=budget,
            slack_part=slack_part,
            request_log=self._request_log,
            isolation=isolation,
            metrics=metrics,
            clock=clock,
        )
        self._non_idempotent_tasks: set[asyncio.Task[web.StreamResponse]] = set()

    async def async_handle(self, request: web.Request) -> web.StreamResponse:
        """Return the response to a routed request.

        :param request: Request of a caller.
        """
        names = self._refusal_builder.names
        now = self._clock.monotonic()
        left_s = stated_time_left_s(request.headers, names)
        is_open = await self._admission.async_wait(left_s)
        table = self._configuration.current().routing
        if not is_open or not table.has_items:
            return self._build_refusal(_NOT_READY, RequestId(""))
        routed = read_request(
            request, table, names, self._split.next_service, now, self._is_current
        )
        if isinstance(routed, Failure):
            return self._refuse_unrouted(request, routed, now)
        if not self._admission.may_admit(routed.deadline):
            # This instance is leaving and could cut the request off; another can finish
            # it.
            return self._build_refusal(_NOT_READY, routed.request_id, routed.workspace)
        forwarding = self._async_forward(request, routed, table)
        if routed.route.is_idempotent:
            return await forwarding
        # A non-idempotent request is not cancelled when its caller disconnects, so that
        # its target finishes it.
        task = asyncio.create_task(forwarding)
        self._non_idempotent_tasks.add(task)
        task.add_done_callback(self._on_non_idempotent_done)
        return await asyncio.shield(task)

    def is_idempotent(self, message: RawRequestMessage) -> bool:
        """Whether a request belongs to a route whose requests may run more than once.

        :param message: Head of the request.
        """
        path = message.path.partition("?")[0]
        table = self._configuration.current().routing
        route = table.find(message.headers.get("Host", ""), path)
        return route is not None and route.is_idempotent

    def set_end(self, ends_at: float) -> None:
        """Refuse requests that may still be in flight when this instance ends.

        :param ends_at: Time at which requests in flight are cut off, in seconds.
        """
        self._admission.set_end(ends_at)

    def _on_non_idempotent_done(self, task: "asyncio.Task[web.StreamResponse]") -> None:
        self._non_idempotent_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._metrics.count(const.METRIC_REQUESTS, outcome="caller_left")

    async def _async_forward(
        self, request: web.Request, routed: RoutedRequest, table: RoutingTable
    ) -> web.StreamResponse:
        left_s = routed.deadline - self._clock.monotonic()
        limits = table.limits
        length = request.content_length
        if limits is not None and length is not None and length > limits.max_body_bytes:
            failure = Failure(code=dispatch_codes.BODY_TOO_LARGE)
            return self._build_refusal(failure, routed.request_id, routed.workspace)
        # The quota of a relayed request is charged by the instance that relays it to a
        # target.
        is_charged = routed.workspace is not None and not self._isolation.is_isolated
        quota = await self._async_admit(routed) if is_charged else None
        if quota is not None and quota.failure is not None:
            return self._build_refusal(
                quota.failure, routed.request_id, routed.workspace
            )
        body = await async_read_body(request, keyed=False, timeout_s=left_s)
        if isinstance(body, Failure):
            self._give_back(quota)
            return self._build_refusal(body, routed.request_id, routed.workspace)
        if quota is not None and self._clock.monotonic() >= quota.valid_until:
            # The body took longer than the token lasted.
            quota = await self._async_admit(routed)
            if quota is not None and quota.failure is not None:
                return self._build_refusal(
                    quota.failure, routed.request_id, routed.workspace
                )
        outgoing = OutgoingRequest(
            routed=routed,
            headers=target_headers(
                request.headers,
                self._refusal_builder.names,
                routed.workspace,
                has_keys=bool(table.workspace_by_name),
            ),
            body=body,
            max_field_bytes=(
                limits.max_header_bytes if limits else const.DEFAULT_MAX_FIELD_BYTES
            ),
        )
        retry_state = RetryState(
            is_idempotent=routed.route.is_idempotent,
            max_attempts=max_attempts(
                request.headers, self._refusal_builder.names, routed.route
            ),
        )
        result = await self._isolation.async_run(
            request,
            outgoing,
            retry_state,
            lambda: self._attempts.async_run(
                outgoing,
                retry_state,
                is_caller_connected=lambda: request.transport is not None,
            ),
        )
        now = self._clock.monotonic()
        self._metrics.observe(
            const.METRIC_LATENCY,
            now - routed.received_at,
            service=routed.service,
            kind=routed.route.kind.value,
            outcome="refused" if isinstance(result, Failure) else "answered",
        )
        revision = self._configuration.current().revision
        if isinstance(result, Failure):
            if not retry_state.targets_tried and result.ran is Ran.NO:
                self._give_back(quota)
            self._request_log.log_refused(
                outgoing,
                result,
                attempts=retry_state.targets_tried,
                revision=revision,
                now=now,
            )
            return self._build_refusal(result, routed.request_id, routed.workspace)
        if routed.workspace is not None:
            self._workspace_counters.count_admitted(routed.workspace)
        self._request_log.log_answered(
            outgoing,
            result.choice,
            status=result.response.message.code,
            attempts=retry_state.targets_tried,
            revision=revision,
            now=now,
        )
        return await self._async_send_response(request, outgoing, result)

    async def _async_admit(self, routed: RoutedRequest) -> QuotaDecision | None:
        """Return the decision of the workspace's quota; ``None`` without a quota."""
        workspace = routed.workspace
        if workspace is None or workspace.requests_per_s <= 0 or self._quota is None:
            return None
        now = self._clock.monotonic()
        return await self._quota.async_admit(workspace, now, routed.deadline - now)

    def _give_back(self, quota: QuotaDecision | None) -> None:
        """Let another request of the workspace use the token of one not sent."""
        if quota is not None and self._quota is not None:
            self._quota.give_back(quota)

    async def _async_send_response(
        self, request: web.Request, outgoing: OutgoingRequest, chosen: ChosenResponse
    ) -> web.StreamResponse:
        target_response = chosen.response
        message = target_response.message
        self._metrics.count(const.METRIC_REQUESTS, outcome="answered")
        headers = _response_headers(message.headers)
        if target_response.buffered_body is not None:
            return web.Response(
                status=message.code,
                reason=message.reason,
                headers=headers,
                body=target_response.buffered_body,
            )
        response = web.StreamResponse(
            status=message.code, reason=message.reason, headers=headers
        )
        if "Content-Length" not in headers and request.version >= HttpVersion11:
            response.enable_chunked_encoding()
        stream = BodyStream(
            payload=target_response.payload,
            has_length="Content-Length" in headers,
            deadline=outgoing.routed.deadline + const.TIMEOUT_GRACE_S,
            clock=self._clock,
        )
        try:
            await stream.async_wait_for_caller(async_wait_for_turn(request))
            await response.prepare(request)
            await stream.async_copy(response)
            await response.write_eof()
        except AnswerBrokenOffError as error:
            self._request_log.log_broken_off(
                outgoing, chosen.choice, str(error), self._clock.monotonic()
            )
            break_off_response(request)
            raise ConnectionResetError("target's response was cut short") from error
        finally:
            target_response.connection.abort()
        return response

    def _refuse_unrouted(
        self, request: web.Request, failure: Failure, now: float
    ) -> web.Response:
        """Return the response to a request whose head gives no routed request."""
        names = self._refusal_builder.names
        request_id = RequestId(request.headers.get(names.request_id, ""))
        logged_id = RequestId(request_id[:MAX_REQUEST_ID_LENGTH])
        revision = self._configuration.current().revision
        if failure.code in REJECTION_CODES:
            self._workspace_counters.count_rejected(None)
            self._request_log.log_key_rejected(
                logged_id,
                failure,
                key_digest=sent_digest_prefix(
                    request.headers.getall(AUTHORIZATION, ())
                ),
                revision=revision,
                now=now,
            )
        elif failure.code is codes.UNKNOWN_ROUTE:
            self._request_log.log_route_unknown(
                logged_id,
                request.headers.get("Host", "")[:MAX_LOGGED_HOST_LENGTH],
                failure.detail,
                revision=revision,
                now=now,
            )
        return self._build_refusal(failure, request_id)

    def _build_refusal(
        self,
        failure: Failure,
        request_id: RequestId,
        workspace: Workspace | None = None,
    ) -> web.Response:
        if workspace is not None:
            self._workspace_counters.count_rejected(workspace)
        self._metrics.count(const.METRIC_REQUESTS, outcome=failure.code.name)
        return self._refusal_builder.response(failure, request_id)


def _response_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    return end_to_end_headers(headers)
