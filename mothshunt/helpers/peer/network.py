"""Streams of one instance to its peers."""

import asyncio
import contextlib
import math
import random
from collections import Counter, deque
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, TypeVar

from expression import Error, Ok, Result

from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.types import InstanceId
from mothshunt.helpers import log
from mothshunt.helpers.log import get_logger
from mothshunt.helpers.peer import codes, const, frame, handshake
from mothshunt.helpers.peer.admission import HandshakeLimiter
from mothshunt.helpers.peer.frame import EncodedFrame, Frame, FrameKind
from mothshunt.helpers.peer.link import PeerLink, Traffic
from mothshunt.helpers.peer.outbox import Outbox, SendBudget
from mothshunt.helpers.peer.pending import PendingReporter
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.metrics.registry import Metrics
from mothshunt.settings.config import Address, Settings

_LOGGER = get_logger("peer")

M = TypeVar("M")
Listener = Callable[[InstanceId], None]


@dataclass(slots=True, eq=False)
class StreamNetwork:
    """Implementation of ``core.network.PeerNetwork`` over TCP.

    :param own_id: Name of this instance.
    :param key: Deployment key.
    :param listen: Address that streams are accepted on.
    :param clock: Source of the current time.
    :param metrics: Metrics of the process.
    """

    own_id: InstanceId
    key: bytes
    listen: Address
    clock: Clock
    metrics: Metrics
    traffic: Traffic = field(default_factory=Traffic)
    _dialled_by_peer: dict[InstanceId, PeerLink] = field(default_factory=dict)
    _accepted_by_peer: dict[InstanceId, PeerLink] = field(default_factory=dict)
    _dialler_by_peer: dict[InstanceId, asyncio.Task[None]] = field(default_factory=dict)
    _on_message_by_class: dict[type[Any], Callable[[InstanceId, Any], None]] = field(
        default_factory=dict
    )
    _on_request_by_class: dict[
        type[Any], Callable[[InstanceId, Any], Awaitable[object]]
    ] = field(default_factory=dict)
    _connect_listeners: list[Listener] = field(default_factory=list)
    _disconnect_listeners: list[Listener] = field(default_factory=list)
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    #: Tasks that the server created, one for each accepted stream.
    _accept_tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    _handshakes: HandshakeLimiter = field(default_factory=HandshakeLimiter)
    _recent_large: deque[tuple[object, EncodedFrame]] = field(
        default_factory=lambda: deque(maxlen=const.REMEMBERED_LARGE_MESSAGES)
    )
    _send_budget: SendBudget = field(default_factory=SendBudget)
    _server: asyncio.Server | None = None
    _watcher: asyncio.Task[None] | None = None

    @classmethod
    def from_config(
        cls, settings: Settings, clock: Clock, metrics: Metrics
    ) -> "StreamNetwork":
        """Return the network of an instance.

        :param settings: Settings of the instance.
        :param clock: Source of the current time.
        :param metrics: Metrics of the process.
        """
        return cls(
            own_id=settings.instance.id,
            key=settings.deployment_key.encode(),
            listen=settings.listen.peer,
            clock=clock,
            metrics=metrics,
        )

    async def async_start(self) -> None:
        """Start accepting streams."""
        self._server = await asyncio.start_server(
            self._async_accept, self.listen.host, self.listen.port
        )
        self._watcher = start_background("peer-watch", self._async_watch)

    async def async_stop(self) -> None:
        """Close all streams."""
        if self._server is not None:
            self._server.close()
        await async_cancel(self._watcher)
        tasks = [*self._dialler_by_peer.values(), *self._tasks]
        self._dialler_by_peer.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for link in self._links():
            link.close()
        # asyncio reports an error for each server task that is cancelled at the end of
        # the event loop.
        if self._accept_tasks:
            await asyncio.wait(self._accept_tasks, timeout=const.CLOSE_TIMEOUT_S)

    def dial(self, peer: InstanceId, host: str, port: int) -> None:
        """Keep a stream to a peer open until ``hang_up`` is called.

        :param peer: Name that the other end must authenticate as.
        :param host: IP address.
        :param port: TCP port.
        """
        if peer == self.own_id or peer in self._dialler_by_peer:
            return
        task = asyncio.create_task(self._async_keep_dialled(peer, host, port))
        self._dialler_by_peer[peer] = task

    def hang_up(self, peer: InstanceId) -> None:
        """Close the dialled stream to a peer and stop dialling it.

        :param peer: Name of the peer.
        """
        task = self._dialler_by_peer.pop(peer, None)
        if task is not None:
            task.cancel()
        link = self._dialled_by_peer.get(peer)
        if link is not None:
            link.close()

    def post(self, peer: InstanceId, message: object) -> bool:
        """Queue a message without waiting; see ``PeerNetwork``."""
        if peer == self.own_id:
            asyncio.get_running_loop().call_soon(self._handle_message, peer, message)
            return True
        link = self._link(peer)
        return link is not None and link.post_encoded(self._encode(message), message)

    def post_all(
        self, peers: Iterable[InstanceId], message: object
    ) -> Sequence[InstanceId]:
        """Queue one message for several peers; see ``PeerNetwork``."""
        encoded = self._encode(message)
        dropped = []
        for peer in peers:
            link = self._link(peer)
            if link is None and peer == self.own_id:
                self.post(peer, message)
            elif link is None or not link.post_encoded(encoded, message):
                dropped.append(peer)
        return dropped

    def _encode(self, message: object) -> EncodedFrame:
        """Encode a message; a large one that is sent again shares its frame."""
        for recent, encoded in self._recent_large:
            if recent is message:
                return encoded
        encoded = frame.encode(Frame(FrameKind.MESSAGE, 0, message))
        if encoded.is_large:
            self._recent_large.append((message, encoded))
        return encoded

    async def async_request(
        self, peer: InstanceId, message: object, timeout_s: float
    ) -> Result[Any, Failure]:
        """Send a message and wait for the answer; see ``PeerNetwork``."""
        if peer == self.own_id:
            return await self._async_request_locally(message, timeout_s)
        link = self._link(peer)
        if link is None:
            return Error(Failure(code=codes.NOT_CONNECTED, detail=peer))
        return await link.async_request(message, timeout_s)

    def on_message(
        self, cls: type[M], handler: Callable[[InstanceId, M], None]
    ) -> None:
        """Set the handler of a class of messages; see ``PeerNetwork``."""
        self._on_message_by_class[cls] = handler

    def on_request(
        self, cls: type[M], handler: Callable[[InstanceId, M], Awaitable[object]]
    ) -> None:
        """Set the handler of a class of requests; see ``PeerNetwork``."""
        self._on_request_by_class[cls] = handler

    def on_connect(self, listener: Listener) -> None:
        """Call a listener whenever the first stream to a peer has opened."""
        self._connect_listeners.append(listener)

    def on_disconnect(self, listener: Listener) -> None:
        """Call a listener whenever the last stream to a peer has closed."""
        self._disconnect_listeners.append(listener)

    def connected(self) -> frozenset[InstanceId]:
        """Return the peers that this instance has a stream to."""
        return frozenset(self._dialled_by_peer) | frozenset(self._accepted_by_peer)

    def dialled(self, peer: InstanceId) -> bool:
        """Whether this instance has a stream to a peer that it dialled itself.

        :param peer: Name of the peer.
        """
        return peer in self._dialled_by_peer

    def pending_bytes_by_peer(self) -> dict[InstanceId, int]:
        """Return the bytes that wait to be sent on the streams to each peer."""
        pending: Counter[InstanceId] = Counter()
        for link in self._links():
            pending[link.peer] += link.pending_bytes()
        return pending

    def pending_bytes(self) -> int:
        """Return the bytes that wait to be sent on all streams."""
        return sum(link.pending_bytes() for link in self._links())

    def _links(self) -> list[PeerLink]:
        return [*self._dialled_by_peer.values(), *self._accepted_by_peer.values()]

    def _link(self, peer: InstanceId) -> PeerLink | None:
        link = self._dialled_by_peer.get(peer)
        if link is None or link.closed:
            link = self._accepted_by_peer.get(peer)
        return link

    async def _async_watch(self) -> None:
        pending = PendingReporter()
        while True:
            await asyncio.sleep(const.WATCH_INTERVAL_S)
            now = self.clock.monotonic()
            for link in self._links():
                link.watch(now)
            report = pending.next_report(self.pending_bytes_by_peer())
            if report is not None:
                log.write(report)

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._accept_tasks.add(task)
            task.add_done_callback(self._accept_tasks.discard)
        if not self._handshakes.admit(self.clock.monotonic()):
            self._count(codes.HANDSHAKE_RATE.name)
            writer.transport.abort()
            return
        try:
            result = await handshake.async_accept(reader, writer, self.own_id, self.key)
        finally:
            self._handshakes.end()
        match result:
            case Result(tag="ok", ok=peer):
                older = self._accepted_by_peer.get(peer)
                if older is not None:
                    older.close()
                await self._async_run_link(self._accepted_by_peer, peer, reader, writer)
            case Result(error=failure):
                self._report_closed(failure)
                writer.transport.abort()

    async def _async_keep_dialled(self, peer: InstanceId, host: str, port: int) -> None:
        delay_s = const.MIN_REDIAL_DELAY_S
        while True:
            began_at = self.clock.monotonic()
            try:
                await self._async_dial_once(peer, host, port)
            except Exception as error:
                # Without another attempt the peer would stay disconnected.
                _LOGGER.error("dialling failed", peer=peer, error=repr(error))
                self._count("dial_failed")
            if self.clock.monotonic() - began_at > const.SILENCE_TIMEOUT_S:
                delay_s = const.MIN_REDIAL_DELAY_S
            # Jitter spreads the reconnections of many peers after a common failure.
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.5))
            delay_s = min(const.MAX_REDIAL_DELAY_S, delay_s * 2)

    async def _async_dial_once(self, peer: InstanceId, host: str, port: int) -> None:
        try:
            async with asyncio.timeout(const.CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError):
            self._count("connect_failed")
            return
        try:
            result = await handshake.async_dial(reader, writer, self.own_id, self.key)
            match result:
                case Result(tag="ok", ok=authenticated) if authenticated == peer:
                    await self._async_run_link(
                        self._dialled_by_peer, peer, reader, writer
                    )
                case Result(tag="ok", ok=authenticated):
                    detail = f"{host}:{port} is {authenticated}, not {peer}"
                    self._report_closed(
                        Failure(code=codes.HANDSHAKE_FAILED, detail=detail)
                    )
                case Result(error=failure):
                    self._report_closed(failure)
        finally:
            writer.transport.abort()

    async def _async_run_link(
        self,
        link_by_peer: dict[InstanceId, PeerLink],
        peer: InstanceId,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        link = PeerLink(
            peer,
            reader,
            writer,
            self.clock,
            self.traffic,
            self._deliver,
            self._create_outbox(is_dialled=link_by_peer is self._dialled_by_peer),
        )
        # The first frame, so that the peer knows before it answers any other.
        link.post(frame.ANNOUNCEMENT)
        is_new = peer not in self.connected()
        link_by_peer[peer] = link
        if is_new:
            self._notify(self._connect_listeners, peer)
        try:
            failure = await link.async_run()
        finally:
            if link_by_peer.get(peer) is link:
                del link_by_peer[peer]
            if peer not in self.connected():
                self._notify(self._disconnect_listeners, peer)
        if failure is not None:
            self._report_closed(failure)

    def _create_outbox(self, *, is_dialled: bool) -> Outbox:
        # Only control instances are dialled. What waits for hundreds of entry instances
        # must not keep out the replicated log.
        if is_dialled:
            return Outbox(
                SendBudget(max_bytes=math.inf),
                const.MAX_SMALL_BYTES_PER_DIALLED_STREAM,
                const.MAX_LARGE_BYTES_PER_DIALLED_STREAM,
            )
        return Outbox(
            self._send_budget,
            const.MAX_SMALL_BYTES_PER_ACCEPTED_STREAM,
            const.MAX_LARGE_BYTES_PER_ACCEPTED_STREAM,
        )

    def _deliver(self, link: PeerLink, item: Frame) -> None:
        if item.kind is FrameKind.REQUEST:
            self._spawn(self._async_answer(link, item))
            return
        self._handle_message(link.peer, item.message)

    def _handle_message(self, peer: InstanceId, message: object) -> None:
        handler = self._on_message_by_class.get(type(message))
        if handler is None:
            self._count("no_handler")
            return
        try:
            handler(peer, message)
        except Exception as error:
            # The stream also carries messages of other handlers, and would fail again.
            _LOGGER.error(
                "a message handler failed",
                peer=peer,
                message=type(message).__name__,
                error=repr(error),
            )
            self._count("handler_failed")

    async def _async_answer(self, link: PeerLink, item: Frame) -> None:
        handler = self._on_request_by_class.get(type(item.message))
        if handler is None:
            self._count("no_handler")
            return
        answer = await handler(link.peer, item.message)
        if not link.post(Frame(FrameKind.ANSWER, item.correlation, answer)):
            self._count("answer_lost")

    async def _async_request_locally(
        self, message: object, timeout_s: float
    ) -> Result[Any, Failure]:
        handler = self._on_request_by_class.get(type(message))
        if handler is None:
            return Error(Failure(code=codes.NOT_CONNECTED, detail=self.own_id))
        try:
            async with asyncio.timeout(timeout_s):
                return Ok(await handler(self.own_id, message))
        except TimeoutError:
            return Error(Failure(code=codes.NO_ANSWER, detail=self.own_id))

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        with contextlib.suppress(asyncio.CancelledError):
            error = task.exception()
            if error is not None:
                _LOGGER.error("a request handler failed", error=repr(error))
                self._count("handler_failed")

    def _notify(self, listeners: list[Listener], peer: InstanceId) -> None:
        for listener in listeners:
            try:
                listener(peer)
            except Exception as error:
                # The other listeners must be called, and the stream must stay open.
                _LOGGER.error("a stream listener failed", peer=peer, error=repr(error))
                self._count("listener_failed")

    def _report_closed(self, failure: Failure) -> None:
        _LOGGER.failure("a stream was closed", failure)
        self._count(failure.code.name)

    def _count(self, reason: str) -> None:
        self.metrics.count("mothshunt_peer_closed_total", reason=reason)
