"""HTTP server of the administration API, metrics and health."""

from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web
from expression import Error, Ok, Result

from mothshunt.access.model import Operator
from mothshunt.admin import codes
from mothshunt.admin.const import ATTR_CUSTOMER, METRIC_LATENCY, METRIC_REQUESTS
from mothshunt.admin.deployment_model import HealthDocument, ReadinessDocument
from mothshunt.admin.gate import Gate
from mothshunt.admin.instances import control_addresses
from mothshunt.admin.messages import (
    Call,
    Refusal,
    Reply,
    Route,
    Scope,
    parsed_query,
)
from mothshunt.admin.responses import refusal_response, reply_response
from mothshunt.admin.router import RouteMatch, find_route
from mothshunt.configuration.model import ConfigurationSource
from mothshunt.configuration.service import ConfigurationService
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure, ResultCode
from mothshunt.core.types import CustomerId, OperatorId, Ran
from mothshunt.helpers.http_listener import HttpListener
from mothshunt.helpers.log import get_logger
from mothshunt.metrics.registry import Metrics
from mothshunt.receipt.coordinator import CallReceiver
from mothshunt.receipt.model import UNWATCHED
from mothshunt.settings.config import Settings

_LOGGER = get_logger("admin")

TOKEN_SCHEME = "Bearer "
READING_METHODS = ("GET", "HEAD")
METHODS = (*READING_METHODS, "PUT", "POST", "DELETE")
API_PREFIX = "/v1"
ANONYMOUS = Operator(id=OperatorId("anonymous"), token_sha256="0" * 64, grants=())


@dataclass(frozen=True, kw_only=True, slots=True)
class Operations:
    """Hold what operators may ask an instance with the role ``control`` to do.

    :param configuration: Holds the operators and what they may do.
    :param routes: The operations.
    :param receiver: Receives the requests.
    """

    configuration: ConfigurationService
    routes: tuple[Route, ...]
    receiver: CallReceiver


class AdminServer:
    """Serve the administration API, metrics and health of one instance.

    :param settings: Settings of this instance.
    :param operations: What operators may ask for; ``None`` where that is nothing, as
        without the role ``control``.
    :param open_routes: Returns what anyone may ask an instance without operations for;
        called with the first such question, so that a start takes no longer for it.
    :param source: Configuration in force here.
    :param metrics: Metrics of the process.
    :param is_ready: Tells whether this instance takes requests.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        operations: Operations | None,
        open_routes: Callable[[], tuple[Route, ...]] | None = None,
        source: ConfigurationSource,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._source = source
        self._metrics = metrics
        self._is_ready = is_ready
        self._clock = clock
        self._gate: Gate | None = None
        self._receiver: CallReceiver | None = None
        self._routes: tuple[Route, ...] = ()
        self._open_routes = open_routes
        if operations is not None:
            self._routes = operations.routes
            self._receiver = operations.receiver
            self._gate = Gate(
                configuration=operations.configuration,
                bootstrap_token_sha256=settings.bootstrap_token_sha256,
                clock=clock,
            )
        self._listener = HttpListener(
            host=settings.listen.admin.host,
            port=settings.listen.admin.port,
            handler=self._async_handle,
            on_malformed=self._malformed,
        )

    @property
    def port(self) -> int:
        """TCP port that is listened on."""
        return self._listener.port

    async def async_start(self) -> None:
        """Listen on the address of the settings."""
        await self._listener.async_start()

    async def async_stop(self) -> None:
        """Stop listening and let the requests in flight end."""
        await self._listener.async_stop()

    async def _async_handle(self, request: web.Request) -> web.StreamResponse:
        response = await self._async_response(request)
        self._metrics.count(
            METRIC_REQUESTS, method=_label(request), status=str(response.status)
        )
        return response

    async def _async_response(self, request: web.Request) -> web.StreamResponse:
        try:
            page = self._page(request)
            if page is not None:
                return page
            result = await self._async_result(request)
        except web.HTTPRequestEntityTooLarge:
            result = _failed(codes.BODY_TOO_LARGE, request)
        except web.HTTPException:
            result = _failed(codes.REQUEST_MALFORMED, request)
        except Exception as error:
            _LOGGER.error("The administration API failed", exception=repr(error))
            result = _failed(codes.INTERNAL, request)
        if result.is_error():
            return refusal_response(result.error, self._metrics)
        return reply_response(result.ok)

    def _page(self, request: web.Request) -> web.Response | None:
        if request.method not in READING_METHODS:
            return None
        match request.path:
            case "/healthz":
                return reply_response(Reply(body=HealthDocument(status="ok")))
            case "/readyz":
                return self._readiness()
            case "/metrics":
                text = self._metrics.render()
                return web.Response(text=text, content_type="text/plain")
            case _:
                return None

    def _readiness(self) -> web.Response:
        ready = self._is_ready()
        revision = self._source.current().revision
        document = ReadinessDocument(ready=ready, revision=revision)
        return reply_response(Reply(body=document, status=200 if ready else 503))

    async def _async_result(self, request: web.Request) -> Result[Reply, Refusal]:
        if self._open_routes is not None:
            self._routes, self._open_routes = self._open_routes(), None
        found = find_route(self._routes, request.method, request.rel_url.raw_path)
        if found.is_error():
            if self._gate is None:
                return self._not_control(request)
            return Error(found.error)
        started_at = self._clock.monotonic()
        result = await self._async_answer(self._gate, found.ok, request)
        elapsed_s = self._clock.monotonic() - started_at
        self._metrics.observe(METRIC_LATENCY, elapsed_s, path=found.ok.route.path)
        return result

    async def _async_answer(
        self, gate: Gate | None, match: RouteMatch, request: web.Request
    ) -> Result[Reply, Refusal]:
        receipt = UNWATCHED
        if self._receiver is not None:
            receipt = self._receiver.receive(request)
        admitted = await _async_admitted(gate, match, _token(request))
        if admitted.is_error():
            return Error(Refusal(failure=admitted.error))
        query = parsed_query(match.route.query, request.query)
        if query.is_error():
            return Error(query.error)
        call = Call(
            operator=admitted.ok,
            path_values=match.path_values,
            query=query.ok,
            body=await request.read(),
            receipt=receipt,
        )
        result = await match.route.handler(call)
        if request.method not in READING_METHODS:
            _log(call, request, result)
        return result

    def _not_control(self, request: web.Request) -> Result[Reply, Refusal]:
        if not request.path.startswith(API_PREFIX):
            return _failed(codes.ROUTE_UNKNOWN, request)
        control = control_addresses(self._source.current())
        detail = ", ".join(address.url for address in control)
        failure = Failure(code=codes.NOT_CONTROL, detail=detail)
        return Error(Refusal(failure=failure, control=control))

    def _malformed(self, detail: str) -> web.Response:
        failure = Failure(code=codes.REQUEST_MALFORMED, detail=detail)
        return refusal_response(Refusal(failure=failure), self._metrics)


async def _async_admitted(
    gate: Gate | None, match: RouteMatch, token: str | None
) -> Result[Operator, Failure]:
    route = match.route
    if route.scope is Scope.OPEN:
        return Ok(ANONYMOUS)
    if gate is None:
        return Error(Failure(code=codes.NOT_CONTROL))
    customer = None
    if route.scope is Scope.CUSTOMER:
        customer = CustomerId(match.path_values[ATTR_CUSTOMER])
    return await gate.async_admit(token, route.role, route.scope, customer)


def _token(request: web.Request) -> str | None:
    header = request.headers.get("Authorization", "")
    if not header.startswith(TOKEN_SCHEME):
        return None
    return header.removeprefix(TOKEN_SCHEME).strip()


def _label(request: web.Request) -> str:
    # Strangers must not be able to make series without end.
    return request.method if request.method in METHODS else "other"


def _failed(code: ResultCode, request: web.Request) -> Result[Reply, Refusal]:
    # A handler that broke off may have submitted its change before.
    is_unknown = code is codes.INTERNAL and request.method not in READING_METHODS
    ran = Ran.UNKNOWN if is_unknown else Ran.NO
    return Error(Refusal(failure=Failure(code=code, detail=request.path, ran=ran)))


def _log(
    call: Call[object], request: web.Request, result: Result[Reply, Refusal]
) -> None:
    text = f"{request.method} {request.path}"
    if result.is_error():
        _LOGGER.failure(f"Refused {text} of {call.operator.id}", result.error.failure)
        return
    _LOGGER.info(f"Carried out {text}", operator=call.operator.id)
