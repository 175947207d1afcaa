"""Forwarding of requests to targets, with retries and at-most-once."""

from collections.abc import Callable

from aiohttp import hdrs, web
from expression import Result
from multidict import CIMultiDict

from mothshunt.configuration.model import ConfigurationSource
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.const import HEADER_REQUEST_ID
from mothshunt.core.types import CustomerId, Ran, ServiceName
from mothshunt.dispatch.answer import Answer, answer_headers
from mothshunt.dispatch.attempt import Attempter, Exchange
from mothshunt.dispatch.body import RequestBody, async_read_body
from mothshunt.dispatch.client import TargetClient
from mothshunt.dispatch.const import (
    KEPT_HEADERS,
    METRIC_LATENCY,
    METRIC_REPLAYS,
)
from mothshunt.dispatch.model import AsyncTargetChooser
from mothshunt.dispatch.refusal import refuse
from mothshunt.dispatch.request import (
    Route,
    fingerprint,
    forwarded_headers,
    read_route,
)
from mothshunt.dispatch.retrier import Retrier
from mothshunt.helpers.log import get_logger
from mothshunt.ledger.model import (
    HeldClaim,
    KeptAnswer,
    KeyedRequest,
    KeyLedger,
    LedgerKey,
)
from mothshunt.metrics.registry import Metrics

_LOGGER = get_logger("dispatch")


class Forwarder:
    """Forward callers' requests to targets.

    :param configuration: Contracts in force.
    :param chooser: Chooses targets.
    :param ledger: Keeps idempotency keys.
    :param metrics: Metrics of the process.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationSource,
        chooser: AsyncTargetChooser,
        ledger: KeyLedger,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._chooser = chooser
        self._ledger = ledger
        self._metrics = metrics
        self._clock = clock
        self._recorder_by_service: dict[
            tuple[CustomerId, ServiceName], Callable[[float], None]
        ] = {}
        self._client: TargetClient | None = None
        self._retrier: Retrier | None = None

    async def async_start(self) -> None:
        """Make ready to open connections to targets."""
        self._client = TargetClient(self._clock)
        attempter = Attempter(
            client=self._client, chooser=self._chooser, clock=self._clock
        )
        self._retrier = Retrier(
            attempter=attempter,
            chooser=self._chooser,
            metrics=self._metrics,
            clock=self._clock,
        )

    async def async_stop(self) -> None:
        """Have the last outcomes recorded and close the connections to targets."""
        await self._ledger.async_stop()
        if self._client is not None:
            await self._client.async_close()

    async def async_handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one request under ``/v1/services/``.

        :param request: The caller's request.
        """
        started_at = self._clock.monotonic()
        route = read_route(request, self._configuration.current(), started_at)
        if isinstance(route, Failure):
            return refuse(self._metrics, route)
        response = await self._async_forward(request, route)
        self._recorder(route)(self._clock.monotonic() - started_at)
        return response

    def _refuse(self, route: Route, failure: Failure) -> web.Response:
        if failure.ran is Ran.UNKNOWN and not route.idempotent:
            _LOGGER.failure("an outcome is unknown", failure, route.request_id)
        return refuse(self._metrics, failure, route.request_id)

    def _recorder(self, route: Route) -> Callable[[float], None]:
        key = (route.customer, route.service.service)
        recorder = self._recorder_by_service.get(key)
        if recorder is None:
            recorder = self._recorder_by_service[key] = self._metrics.recorder(
                METRIC_LATENCY, customer=key[0], service=key[1]
            )
        return recorder

    async def _async_forward(
        self, request: web.Request, route: Route
    ) -> web.StreamResponse:
        if request.body_exists:
            remaining_s = route.deadline - self._clock.monotonic()
            body = await async_read_body(
                request, keyed=route.key is not None, timeout_s=remaining_s
            )
            if isinstance(body, Failure):
                return self._refuse(route, body)
        else:
            body = RequestBody(b"", request)
        if route.key is not None:
            return await self._async_keyed(request, route, body)
        exchange = Exchange(
            request=request,
            route=route,
            headers=_headers_for_target(request, route),
            body=body,
        )
        assert self._retrier is not None
        result = await self._retrier.async_run(exchange)
        if isinstance(result, Failure):
            return self._refuse(route, result)
        return result

    async def _async_keyed(
        self, request: web.Request, route: Route, body: RequestBody
    ) -> web.StreamResponse:
        assert route.key is not None
        key = LedgerKey(
            customer=route.customer, service=route.service.service, key=route.key
        )
        keyed = KeyedRequest(key=key, fingerprint=fingerprint(route, body.whole or b""))
        match await self._ledger.async_claim(keyed, route.deadline):
            case Result(tag="ok", ok=held):
                pass
            case Result(error=failure):
                return self._refuse(route, failure)
        if isinstance(held, KeptAnswer):
            self._metrics.count(METRIC_REPLAYS, customer=route.customer)
            return _replay(held)
        return await self._async_claimed(request, route, body, held)

    async def _async_claimed(
        self, request: web.Request, route: Route, body: RequestBody, claim: HeldClaim
    ) -> web.StreamResponse:
        def record(answer: Answer) -> None:
            claim.record(_recorded(answer))

        exchange = Exchange(
            request=request,
            route=route,
            headers=_headers_for_target(request, route),
            body=body,
            on_answer=record,
        )
        assert self._retrier is not None
        try:
            result = await self._retrier.async_run(exchange)
        except BaseException:
            # The caller may have left before anything was sent.
            if not exchange.may_have_run:
                claim.release()
            raise
        if not isinstance(result, Failure):
            return result
        if result.ran is Ran.NO:
            claim.release()
        return self._refuse(route, result)


def _headers_for_target(request: web.Request, route: Route) -> CIMultiDict[str]:
    headers = forwarded_headers(request.headers)
    headers[HEADER_REQUEST_ID] = route.request_id
    headers.popall(hdrs.EXPECT, None)
    return headers


def _recorded(answer: Answer) -> KeptAnswer:
    headers = answer_headers(answer.response)
    return KeptAnswer(
        status=answer.response.status,
        headers=tuple((k, v) for k, v in headers.items() if k.lower() in KEPT_HEADERS),
        body=answer.whole,
    )


def _replay(recorded: KeptAnswer) -> web.Response:
    return web.Response(
        status=recorded.status,
        headers=CIMultiDict(recorded.headers),
        body=recorded.body,
    )
