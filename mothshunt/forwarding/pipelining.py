"""Concurrent handling of HTTP requests that a caller pipelines on one connection.

Responses are sent in the order of the requests. Only idempotent requests without a body
begin before their turn, and only while all requests before them on the connection are
idempotent too: a request behind a response that closes the connection counts as unread,
and the caller sends it again whatever its kind.
"""

import asyncio
from dataclasses import dataclass, field
from typing import Any, Protocol

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.http_writer import StreamWriter
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from mothshunt.forwarding import const
from mothshunt.helpers.http_protocol import MalformedHandler, ResultCodeProtocol

#: Key under which a request that began before its turn has its ``EarlyRequest``.
_EARLY_KEY = "mothshunt.early"


class PipelinePolicy(Protocol):
    """Decision and handling of requests that begin before their turn."""

    def may_begin_early(self, message: RawRequestMessage) -> bool:
        """Whether a request may begin before the ones ahead of it are answered.

        :param message: Head of the request.
        """
        ...

    async def async_respond(self, request: web.Request) -> web.StreamResponse:
        """Return the response to a request.

        :param request: The request.
        """
        ...


@dataclass(slots=True)
class EarlyRequestCount:
    """Number of requests of all connections that began before their turn.

    :param current: Number of those that have not been answered.
    """

    current: int = 0


@dataclass(slots=True, eq=False)
class EarlyRequest:
    """Request that began before its turn.

    :param request: The request.
    :param turn: Set when all requests ahead of it are answered.
    :param task: Task that returns the response.
    """

    request: web.Request
    turn: asyncio.Event = field(default_factory=asyncio.Event)
    task: "asyncio.Task[web.StreamResponse] | None" = None


async def async_wait_for_turn(request: web.BaseRequest) -> None:
    """Wait until the response to a request may be written to its connection.

    :param request: The request.
    """
    early: EarlyRequest | None = request.get(_EARLY_KEY)
    if early is not None:
        await early.turn.wait()


def early_response(
    request: web.BaseRequest,
) -> "asyncio.Task[web.StreamResponse] | None":
    """Return the task of a request that began before its turn, else ``None``.

    :param request: The request.
    """
    early: EarlyRequest | None = request.get(_EARLY_KEY)
    return None if early is None else early.task


def has_early_requests(request: web.BaseRequest) -> bool:
    """Whether requests behind this one on its connection have begun.

    :param request: The request.
    """
    protocol = request.protocol
    return isinstance(protocol, PipeliningProtocol) and protocol.has_early_requests()


class PipeliningProtocol(ResultCodeProtocol):
    """Server connection that handles pipelined requests concurrently.

    :param manager: Server that the connection belongs to.
    :param on_malformed: Returns the response to a request that is not valid HTTP.
    :param policy: Decides which requests begin early, and handles them.
    :param early_count: Number of early requests of all connections.
    :param options: Options of aiohttp's protocol.
    """

    __slots__ = (
        "_current_message",
        "_early_by_message",
        "_early_count",
        "_make_request",
        "_policy",
    )

    def __init__(
        self,
        manager: web.Server,
        *,
        on_malformed: MalformedHandler,
        policy: PipelinePolicy,
        early_count: EarlyRequestCount,
        **options: Any,
    ) -> None:
        super().__init__(manager, on_malformed=on_malformed, **options)
        self._policy = policy
        self._early_count = early_count
        # Messages have no hash; each is held by the queue of the connection as long as
        # its identity is a key here.
        self._early_by_message: dict[int, EarlyRequest] = {}
        self._current_message: RawRequestMessage | None = None
        self._make_request = self._request_factory
        self._request_factory = self._request_in_turn

    def has_early_requests(self) -> bool:
        """Whether requests behind the current one have begun."""
        return bool(self._early_by_message)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and begin pipelined requests.

        :param data: Bytes that the caller sent.
        """
        super().data_received(data)
        if self._current_request is not None:
            self._begin_early_requests()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel requests that began early, as nobody waits for them.

        :param exc: Error that ended the connection.
        """
        for early in self._early_by_message.values():
            if early.task is not None:
                early.task.cancel()
        self._early_by_message.clear()
        super().connection_lost(exc)

    def _begin_early_requests(self) -> None:
        if self._current_message is None or not self._messages:
            return
        if not self._policy.may_begin_early(self._current_message):
            return
        for message, payload in self._messages:
            is_early = id(message) in self._early_by_message
            if is_early:
                continue
            if (
                not isinstance(message, RawRequestMessage)
                or payload is not EMPTY_PAYLOAD
                or len(self._early_by_message) >= const.MAX_EARLY_PER_CONNECTION
                or self._early_count.current >= const.MAX_EARLY_REQUESTS
                or not self._policy.may_begin_early(message)
            ):
                return
            self._begin(message, payload)

    def _begin(self, message: RawRequestMessage, payload: StreamReader) -> None:
        assert self._make_request is not None
        task = self._task_handler
        if task is None:
            return
        writer = StreamWriter(self, self._loop)
        request = self._make_request(message, payload, self, writer, task)
        assert isinstance(request, web.Request)
        early = EarlyRequest(request)
        request[_EARLY_KEY] = early
        self._early_by_message[id(message)] = early
        self._early_count.current += 1
        early.task = self._loop.create_task(self._policy.async_respond(request))
        early.task.add_done_callback(self._on_early_done)

    def _on_early_done(self, task: "asyncio.Task[web.StreamResponse]") -> None:
        self._early_count.current -= 1
        if not task.cancelled():
            # The exception is raised again where the response is awaited; it must not
            # be reported as never retrieved if the connection was lost meanwhile.
            task.exception()

    def _request_in_turn(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: web.RequestHandler,
        writer: AbstractStreamWriter,
        task: "asyncio.Task[None]",
    ) -> web.BaseRequest:
        """Return the request whose turn it is; the same one if it began early."""
        early = self._early_by_message.pop(id(message), None)
        self._current_message = message
        if self._messages:
            # The next ones were not begun if they were parsed while no request was in
            # progress, or if too many had begun before.
            self._loop.call_soon(self._begin_early_requests)
        if early is not None:
            early.turn.set()
            return early.request
        assert self._make_request is not None
        return self._make_request(message, payload, protocol, writer, task)
