"""HTTP server of the administration API, metrics and health."""

import re
from collections.abc import Awaitable, Callable

from aiohttp import web
from expression import Error, Ok, Result

from mothshunt.access.model import Operator
from mothshunt.admin import codes
from mothshunt.admin.changes import ChangeHandlers
from mothshunt.admin.const import (
    ATTR_CUSTOMER,
    MAX_BODY_BYTES,
    METRIC_LATENCY,
    METRIC_REQUESTS,
)
from mothshunt.admin.contracts import ContractHandlers
from mothshunt.admin.drains import DrainHandlers
from mothshunt.admin.gate import Gate
from mothshunt.admin.instances import InstanceHandlers, control_addresses
from mothshunt.admin.messages import Call, Refusal, Reply, Route, Scope, refuse
from mothshunt.admin.model import ReadinessDocument
from mothshunt.admin.responses import refusal_response, reply_response
from mothshunt.configuration.model import ConfigurationSource
from mothshunt.configuration.service import ConfigurationService, StatusService
from mothshunt.consensus.model import ReplicatedLog
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.const import ID_PATTERN
from mothshunt.core.types import CustomerId, OperatorId, Ran, Role
from mothshunt.discovery.model import TargetDirectory
from mothshunt.helpers.log import get_logger
from mothshunt.metrics.registry import Metrics
from mothshunt.settings.config import Settings

_LOGGER = get_logger("admin")

HANDLER_SHUTDOWN_S = 10.0
TOKEN_SCHEME = "Bearer "
ANONYMOUS = Operator(id=OperatorId("anonymous"), token_sha256="0" * 64, grants=())

AiohttpHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class AdminServer:
    """Serve the administration API, metrics and health of one instance.

    :param settings: Settings of this instance.
    :param configuration: Changes and confirmed reads; ``None`` without the role
        ``control``, as then no route under ``/v1`` is served.
    :param status: How the instances stand; ``None`` likewise.
    :param source: Configuration in force here.
    :param log: Replicated log; ``None`` without the role ``control``.
    :param metrics: Metrics of the process.
    :param is_ready: Tells whether this instance takes requests.
    :param clock: Source of the present time.
    :param targets: Targets known here, where there are any.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        configuration: ConfigurationService | None,
        status: StatusService | None,
        source: ConfigurationSource,
        log: ReplicatedLog | None,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        clock: Clock,
        targets: TargetDirectory | None = None,
    ) -> None:
        self._settings = settings
        self._source = source
        self._metrics = metrics
        self._is_ready = is_ready
        self._clock = clock
        self._routes: tuple[Route, ...] = ()
        if configuration is not None and status is not None:
            self._add_routes(configuration, status, targets)
        self._runner: web.AppRunner | None = None

    def _add_routes(
        self,
        configuration: ConfigurationService,
        status: StatusService,
        targets: TargetDirectory | None,
    ) -> None:
        self._gate = Gate(
            configuration=configuration,
            bootstrap_token_sha256=self._settings.bootstrap_token_sha256,
            clock=self._clock,
        )
        changes = ChangeHandlers(configuration)
        self._routes = (
            *changes.routes(),
            *ContractHandlers(configuration, changes).routes(),
            *DrainHandlers(
                configuration=configuration,
                status=status,
                source=self._source,
                targets=targets,
                changes=changes,
            ).routes(),
            *InstanceHandlers(
                instance=self._settings.instance.id, status=status, source=self._source
            ).routes(),
        )

    @property
    def port(self) -> int:
        """Return the TCP port that is listened on; 0 before the start."""
        if self._runner is None or not self._runner.addresses:
            return 0
        return int(self._runner.addresses[0][1])

    async def async_start(self) -> None:
        """Listen on the address of the settings."""
        application = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._async_guard]
        )
        application.router.add_get("/healthz", self._async_health)
        application.router.add_get("/readyz", self._async_readiness)
        application.router.add_get("/metrics", self._async_metrics)
        if self._settings.has_role(Role.CONTROL):
            for route in self._routes:
                application.router.add_route(
                    route.method, route.path, self._served(route)
                )
        else:
            application.router.add_route("*", "/v1{rest:.*}", self._async_not_control)
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=HANDLER_SHUTDOWN_S
        )
        await self._runner.setup()
        address = self._settings.listen.admin
        await web.TCPSite(self._runner, address.host, address.port).start()

    async def async_stop(self) -> None:
        """Stop listening and let the requests in flight end."""
        if self._runner is None:
            return
        runner, self._runner = self._runner, None
        await runner.cleanup()

    def _served(self, route: Route) -> AiohttpHandler:
        async def async_serve(request: web.Request) -> web.StreamResponse:
            started_at = self._clock.monotonic()
            result = await self._async_result(route, request)
            elapsed_s = self._clock.monotonic() - started_at
            self._metrics.observe(METRIC_LATENCY, elapsed_s, route=route.path)
            if result.is_error():
                return refusal_response(result.error, self._metrics)
            return reply_response(result.ok)

        return async_serve

    async def _async_result(
        self, route: Route, request: web.Request
    ) -> Result[Reply, Refusal]:
        admitted = await self._async_admitted(route, request)
        if admitted.is_error():
            return Error(Refusal(failure=admitted.error))
        for name, value in request.match_info.items():
            if not re.fullmatch(ID_PATTERN, value):
                return refuse(codes.PARAMETER_INVALID, "not an identifier", f"/{name}")
        call = Call(
            operator=admitted.ok,
            path_values=request.match_info,
            query_values=request.query,
            body=await request.read(),
        )
        result = await route.handler(call)
        if route.method != "GET":
            self._log_change(route, call, result)
        return result

    async def _async_admitted(
        self, route: Route, request: web.Request
    ) -> Result[Operator, Failure]:
        if route.scope is Scope.OPEN:
            return Ok(ANONYMOUS)
        customer = None
        if route.scope is Scope.CUSTOMER:
            customer = CustomerId(request.match_info[ATTR_CUSTOMER])
        return await self._gate.async_admit(
            _token(request), route.role, route.scope, customer
        )

    def _log_change(
        self, route: Route, call: Call, result: Result[Reply, Refusal]
    ) -> None:
        fields = {"operator": call.operator.id, "method": route.method}
        path = route.path.format(**call.path_values)
        if result.is_error():
            _LOGGER.failure(f"Refused {path}", result.error.failure)
            return
        _LOGGER.info(f"Carried out {path}", **fields)

    @web.middleware
    async def _async_guard(
        self, request: web.Request, handler: AiohttpHandler
    ) -> web.StreamResponse:
        response = await self._async_numbered(request, handler)
        self._metrics.count(
            METRIC_REQUESTS, method=request.method, status=str(response.status)
        )
        return response

    async def _async_numbered(
        self, request: web.Request, handler: AiohttpHandler
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except web.HTTPNotFound:
            code = codes.ROUTE_UNKNOWN
        except web.HTTPMethodNotAllowed:
            code = codes.METHOD_NOT_ALLOWED
        except web.HTTPRequestEntityTooLarge:
            code = codes.BODY_TOO_LARGE
        except web.HTTPException:
            code = codes.REQUEST_MALFORMED
        except Exception as error:
            _LOGGER.error("The administration API failed", exception=repr(error))
            code = codes.INTERNAL
        # A handler that broke off may have submitted its change before.
        changes = code is codes.INTERNAL and request.method != "GET"
        ran = Ran.UNKNOWN if changes else Ran.NO
        failure = Failure(code=code, detail=request.path, ran=ran)
        return refusal_response(Refusal(failure=failure), self._metrics)

    async def _async_not_control(self, request: web.Request) -> web.StreamResponse:
        control = control_addresses(self._source.current())
        failure = Failure(
            code=codes.NOT_CONTROL,
            detail=", ".join(address.url for address in control),
        )
        refusal = Refusal(failure=failure, control=control)
        return refusal_response(refusal, self._metrics)

    async def _async_health(self, request: web.Request) -> web.StreamResponse:
        return web.json_response({"status": "ok"})

    async def _async_readiness(self, request: web.Request) -> web.StreamResponse:
        document = ReadinessDocument(
            ready=self._is_ready(), revision=self._source.current().revision
        )
        return reply_response(
            Reply(body=document, status=200 if document.ready else 503)
        )

    async def _async_metrics(self, request: web.Request) -> web.StreamResponse:
        return web.Response(text=self._metrics.render(), content_type="text/plain")


def _token(request: web.Request) -> str | None:
    header = request.headers.get("Authorization", "")
    if not header.startswith(TOKEN_SCHEME):
        return None
    return header.removeprefix(TOKEN_SCHEME).strip()
