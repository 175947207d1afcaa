"""Forwarding of callers' requests, with retries and idempotency keys."""

from collections.abc import Callable

from aiohttp import hdrs, web
from expression import Result
from multidict import CIMultiDict

from mothshunt.configuration.model import ConfigurationSource
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.const import HEADER_REQUEST_ID
from mothshunt.core.types import CustomerId, Ran, ServiceName
from mothshunt.dispatch.answer import BufferedResponse, response_headers
from mothshunt.dispatch.attempt import AttemptRunner, ForwardedRequest
from mothshunt.dispatch.body import RequestBody, async_read_body
from mothshunt.dispatch.client import TargetClient
from mothshunt.dispatch.const import (
    METRIC_LATENCY,
    METRIC_REPLAYS,
    REPLAYED_HEADERS,
)
from mothshunt.dispatch.model import AsyncTargetChooser
from mothshunt.dispatch.refusal import refuse
from mothshunt.dispatch.request import (
    ParsedRequest,
    end_to_end_headers,
    fingerprint,
    parse_request,
)
from mothshunt.dispatch.retrier import Retrier
from mothshunt.helpers.log import get_logger
from mothshunt.ledger.model import (
    KeyClaim,
    KeyedRequest,
    KeyLedger,
    LedgerKey,
    StoredResponse,
)
from mothshunt.metrics.registry import Metrics

_LOGGER = get_logger("dispatch")


class Forwarder:
    """Handler of requests under ``/v1/services/``, which forwards them to targets.

    :param configuration: Source of the contracts in force.
    :param chooser: Chooser of targets.
    :param ledger: Ledger of idempotency keys.
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
        """Create the client that opens connections to targets."""
        self._client = TargetClient(self._clock)
        attempt_runner = AttemptRunner(
            client=self._client, chooser=self._chooser, clock=self._clock
        )
        self._retrier = Retrier(
            attempt_runner=attempt_runner,
            chooser=self._chooser,
            metrics=self._metrics,
            clock=self._clock,
        )

    async def async_stop(self) -> None:
        """Wait until the ledger has recorded all outcomes; close all connections."""
        await self._ledger.async_stop()
        if self._client is not None:
            await self._client.async_close()

    async def async_handle(self, request: web.Request) -> web.StreamResponse:
        """Return the response to one request under ``/v1/services/``.

        :param request: The caller's request.
        """
        started_at = self._clock.monotonic()
        parsed = parse_request(request, self._configuration.current(), started_at)
        if isinstance(parsed, Failure):
            return refuse(self._metrics, parsed)
        response = await self._async_forward(request, parsed)
        self._recorder(parsed)(self._clock.monotonic() - started_at)
        return response

    def _build_refusal(self, parsed: ParsedRequest, failure: Failure) -> web.Response:
        if failure.ran is Ran.UNKNOWN and not parsed.idempotent:
            _LOGGER.failure(
                "the target may have run a request that can't be repeated",
                failure,
                parsed.request_id,
            )
        return refuse(self._metrics, failure, parsed.request_id)

    def _recorder(self, parsed: ParsedRequest) -> Callable[[float], None]:
        key = (parsed.customer, parsed.service.service)
        recorder = self._recorder_by_service.get(key)
        if recorder is None:
            recorder = self._recorder_by_service[key] = self._metrics.recorder(
                METRIC_LATENCY, customer=key[0], service=key[1]
            )
        return recorder

    async def _async_forward(
        self, request: web.Request, parsed: ParsedRequest
    ) -> web.StreamResponse:
        if request.body_exists:
            remaining_s = parsed.deadline - self._clock.monotonic()
            body = await async_read_body(
                request, keyed=parsed.key is not None, timeout_s=remaining_s
            )
            if isinstance(body, Failure):
                return self._build_refusal(parsed, body)
        else:
            body = RequestBody(b"", request)
        if parsed.key is not None:
            return await self._async_forward_keyed(request, parsed, body)
        forwarded = ForwardedRequest(
            request=request,
            parsed=parsed,
            headers=_headers_for_target(request, parsed),
            body=body,
        )
        assert self._retrier is not None
        result = await self._retrier.async_run(forwarded)
        if isinstance(result, Failure):
            return self._build_refusal(parsed, result)
        return result

    async def _async_forward_keyed(
        self, request: web.Request, parsed: ParsedRequest, body: RequestBody
    ) -> web.StreamResponse:
        assert parsed.key is not None
        key = LedgerKey(
            customer=parsed.customer, service=parsed.service.service, key=parsed.key
        )
        keyed = KeyedRequest(
            key=key, fingerprint=fingerprint(parsed, body.buffered or b"")
        )
        match await self._ledger.async_claim(keyed, parsed.deadline):
            case Result(tag="ok", ok=held):
                pass
            case Result(error=failure):
                return self._build_refusal(parsed, failure)
        if isinstance(held, StoredResponse):
            self._metrics.count(METRIC_REPLAYS, customer=parsed.customer)
            return _replayed_response(held)
        return await self._async_forward_claimed(request, parsed, body, held)

    async def _async_forward_claimed(
        self,
        request: web.Request,
        parsed: ParsedRequest,
        body: RequestBody,
        claim: KeyClaim,
    ) -> web.StreamResponse:
        def record(buffered: BufferedResponse) -> None:
            claim.record(_stored_response(buffered))

        forwarded = ForwardedRequest(
            request=request,
            parsed=parsed,
            headers=_headers_for_target(request, parsed),
            body=body,
            on_response=record,
        )
        assert self._retrier is not None
        try:
            result = await self._retrier.async_run(forwarded)
        except BaseException:
            # The caller may have disconnected before anything was sent to a target.
            if not forwarded.may_have_run:
                claim.release()
            raise
        if not isinstance(result, Failure):
            return result
        if result.ran is Ran.NO:
            claim.release()
        return self._build_refusal(parsed, result)


def _headers_for_target(
    request: web.Request, parsed: ParsedRequest
) -> CIMultiDict[str]:
    headers = end_to_end_headers(request.headers)
    headers[HEADER_REQUEST_ID] = parsed.request_id
    headers.popall(hdrs.EXPECT, None)
    return headers


def _stored_response(buffered: BufferedResponse) -> StoredResponse:
    headers = response_headers(buffered.response)
    return StoredResponse(
        status=buffered.response.status,
        headers=tuple(
            (k, v) for k, v in headers.items() if k.lower() in REPLAYED_HEADERS
        ),
        body=buffered.body,
    )


def _replayed_response(recorded: StoredResponse) -> web.Response:
    return web.Response(
        status=recorded.status,
        headers=CIMultiDict(recorded.headers),
        body=recorded.body,
    )
