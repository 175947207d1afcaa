"""HTTP server of one stand-in target."""

import asyncio
import hashlib
from dataclasses import asdict

import aiohttp
from aiohttp import web

from mothshunt.core.const import (
    HEADER_DEADLINE_MS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_RAN,
    HEADER_REQUEST_ID,
    HEADER_RETRY_AFTER,
)
from testkit import answers
from testkit.target.announcer import Announcer
from testkit.target.behaviour import Behaviour, LoadLie, Truncation
from testkit.target.config import Endpoint, TargetConfig
from testkit.target.runs import Run, RunRecord

HEADER_TEST_ID = "X-Test-Id"
#: Exact service time of one request in milliseconds, whether caches are warm or not.
HEADER_SERVICE_MS = "X-Test-Service-Ms"
#: Length of the payload of one answer, in place of the target's own.
HEADER_ANSWER_BYTES = "X-Test-Answer-Bytes"
#: Time in milliseconds over which the answer's body is spread, sent chunked.
HEADER_STREAM_MS = "X-Test-Stream-Ms"

STREAM_PIECES = 10
MAX_BODY_BYTES = 64 * 1024 * 1024
MILLISECONDS_PER_SECOND = 1000


class StandInTarget:
    """Serve one target.

    :param config: The target.
    :param entries: Entry addresses to announce to.
    :param session: HTTP client for announcements.
    :param record: Record of its runs.
    """

    def __init__(
        self,
        *,
        config: TargetConfig,
        entries: tuple[Endpoint, ...],
        session: aiohttp.ClientSession,
        record: RunRecord,
    ) -> None:
        self._config = config
        self._behaviour = Behaviour()
        self._record = record
        self._runner: web.AppRunner | None = None
        self._run_ended = asyncio.Event()
        self._silenced: set[asyncio.BaseTransport] = set()
        self._announcer = Announcer(
            config=config, entries=entries, source=self, session=session
        )

    def announces(self) -> bool:
        """Tell whether announcements are sent now."""
        return self._behaviour.announce

    def load(self) -> LoadLie | None:
        """Return the load to report, or ``None`` for none."""
        if not self._behaviour.report_load:
            return None
        if self._behaviour.load_lie is not None:
            return self._behaviour.load_lie
        return LoadLie(
            in_flight=self._record.in_flight, connections=len(self._transports())
        )

    async def async_start(self) -> None:
        """Listen, then announce."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get("/_testkit/runs", self._handle_runs)
        app.router.add_get("/_testkit/stats", self._handle_stats)
        app.router.add_post("/_testkit/behave", self._handle_behave)
        app.router.add_post("/_testkit/silence", self._handle_silence)
        app.router.add_get("/_testkit/health", self._handle_health)
        app.router.add_route("*", "/{path:.*}", self._handle)
        app.on_response_prepare.append(_async_echo_id)
        self._runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, shutdown_timeout=5
        )
        await self._runner.setup()
        listen = self._config.listen
        await web.TCPSite(self._runner, listen.host, listen.port).start()
        self._announcer.start()

    async def async_stop(self) -> None:
        """Say leaving, finish what is in flight, leave and stop listening."""
        self._announcer.say_leaving()
        await asyncio.sleep(self._config.leave_grace_s)
        while self._record.in_flight > 0:
            self._run_ended.clear()
            await self._run_ended.wait()
        await self._announcer.async_leave()
        if self._runner is not None:
            await self._runner.cleanup()

    def _transports(self) -> set[asyncio.BaseTransport]:
        if self._runner is None or self._runner.server is None:
            return set()
        connections = self._runner.server.connections
        return {item.transport for item in connections if item.transport is not None}

    async def _handle_runs(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "target": self._config.target,
                "runs": [asdict(run) for run in self._record.runs],
            }
        )

    async def _handle_stats(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "target": self._config.target,
                "received": self._record.received,
                "shed": self._record.shed,
                "in_flight": self._record.in_flight,
                "started": len(self._record.runs),
                "finished": self._record.finished,
                "connections": len(self._transports()),
                "acknowledged": self._announcer.acknowledged,
            }
        )

    async def _handle_behave(self, request: web.Request) -> web.Response:
        result = Behaviour.from_json(await request.read())
        if result.is_error():
            faults = [asdict(fault) for fault in result.error]
            return web.json_response({"faults": faults}, status=400)
        self._behaviour = result.ok
        return web.json_response({})

    async def _handle_silence(self, request: web.Request) -> web.Response:
        """Stop reading from all open connections but this one, for good."""
        others = self._transports() - {request.transport} - self._silenced
        for transport in others:
            transport.pause_reading()  # type: ignore[attr-defined]
        self._silenced |= others
        return web.json_response({"silenced": len(others)})

    async def _handle_health(self, request: web.Request) -> web.Response:
        healthy = self._behaviour.healthy
        return web.json_response({"healthy": healthy}, status=200 if healthy else 503)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        self._record.received += 1
        behaviour, self._behaviour = self._behaviour.for_next_request()
        if behaviour.shed or self._record.in_flight >= self._config.slots:
            self._record.shed += 1
            headers = {HEADER_RAN: "no", HEADER_RETRY_AFTER: "1"}
            return web.json_response({}, status=503, headers=headers)
        headers = request.headers
        key = headers.get(HEADER_IDEMPOTENCY_KEY, "")
        run = Run(
            request_id=headers.get(HEADER_TEST_ID)
            or key
            or headers.get(HEADER_REQUEST_ID, ""),
            key=key,
            method=request.method,
            path=request.path_qs,
            deadline_ms=headers.get(HEADER_DEADLINE_MS, ""),
        )
        run_number = self._record.start(run)
        ended = "cancelled"
        try:
            response = await self._run(request, run, run_number, behaviour)
            ended = "broken" if behaviour.close_after_read else "answered"
            return response
        finally:
            self._record.end(run, ended)
            self._run_ended.set()

    async def _run(
        self, request: web.Request, run: Run, run_number: int, behaviour: Behaviour
    ) -> web.StreamResponse:
        body = await request.read()
        await asyncio.sleep(self._service_time_s(request) + behaviour.slow_ms / 1000)
        if behaviour.late_ms:
            late_s = behaviour.late_ms / MILLISECONDS_PER_SECOND
            await asyncio.shield(asyncio.ensure_future(asyncio.sleep(late_s)))
        if behaviour.close_after_read and request.transport is not None:
            request.transport.abort()
        status = behaviour.error_status or 200
        answer = answers.Answer(
            request_id=run.request_id,
            target=self._config.target,
            run_number=run_number,
            request_sha256=hashlib.sha256(body).hexdigest(),
        )
        length = int(
            request.headers.get(HEADER_ANSWER_BYTES, self._config.answer_bytes)
        )
        data = answers.build(answer, answers.make_payload(run.request_id, length))
        if behaviour.truncate is not None:
            return await _send_truncated(request, data, behaviour.truncate)
        stream_s = float(request.headers.get(HEADER_STREAM_MS, 0)) / 1000
        if stream_s:
            return await _send_slowly(request, data, stream_s)
        return web.Response(body=data, status=status)

    def _service_time_s(self, request: web.Request) -> float:
        exact_ms = request.headers.get(HEADER_SERVICE_MS)
        if exact_ms is not None:
            return float(exact_ms) / MILLISECONDS_PER_SECOND
        config = self._config
        service_ms = config.service_time_ms
        if config.cold_requests:
            coldness = max(0.0, 1 - self._record.finished / config.cold_requests)
            service_ms *= 1 + (config.cold_factor - 1) * coldness
        return service_ms / MILLISECONDS_PER_SECOND


async def _send_slowly(
    request: web.Request, data: bytes, stream_s: float
) -> web.StreamResponse:
    response = web.StreamResponse()
    response.enable_chunked_encoding()
    await response.prepare(request)
    piece = len(data) // STREAM_PIECES + 1
    for start in range(0, len(data), piece):
        await response.write(data[start : start + piece])
        await asyncio.sleep(stream_s / STREAM_PIECES)
    await response.write_eof()
    return response


async def _async_echo_id(
    request: web.Request, response: web.StreamResponse
) -> None:
    request_id = request.headers.get(HEADER_REQUEST_ID)
    if request_id is not None:
        response.headers[HEADER_REQUEST_ID] = request_id


async def _send_truncated(
    request: web.Request, data: bytes, truncation: Truncation
) -> web.StreamResponse:
    response = web.StreamResponse()
    if truncation is Truncation.CHUNKED:
        response.enable_chunked_encoding()
    else:
        response.content_length = len(data)
    await response.prepare(request)
    await response.write(data[: len(data) // 2])
    if request.transport is not None:
        request.transport.close()
    return response
