"""A target of a routed deployment that answers as it should, then never ends."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from mothshunt.core.const import HEADER_REQUEST_ID
from mothshunt.helpers.tasks import async_cancel
from testkit.ports import HOST
from testkit.routed_deployment import Target

#: Bytes that are sent at a time.
PIECE_BYTES = 64 * 1024


class Mode(Enum):
    """What a target sends until its caller closes the connection."""

    SOUND = "nothing more"
    SHED_CHUNKED = "a refusal in chunks"
    SHED_UNTIL_CLOSE = "a refusal without a length"
    BUSY_UNTIL_CLOSE = "an unproven refusal without a length"
    INFORMATIONAL = "informational answers"
    CHUNK_EXTENSION = "a chunk extension"
    TRAILERS = "trailers"
    HEAD_LINES = "lines of a head"
    HEAD_LINE = "one line of a head"
    NO_PROTOCOL = "bytes of no protocol"
    AFTER_ANSWER = "bytes after its answer"
    ANSWERS_AFTER_ANSWER = "answers after its answer"
    OTHER_ANSWER = "the answer to another request"
    BODY = "the body of its answer"


def _head(request_id: str, status: str, *lines: str) -> bytes:
    fields = (f"HTTP/1.1 {status}", f"{HEADER_REQUEST_ID}: {request_id}", *lines)
    return ("\r\n".join(fields) + "\r\n\r\n").encode()


def _sound(request_id: str) -> bytes:
    return _head(request_id, "200 OK", "Content-Length: 5") + b"sound"


_NOT_RUN = "Mothshunt-Ran: no"
_CHUNKED = "Transfer-Encoding: chunked"
_PIECE = b"x" * PIECE_BYTES
_CHUNK = b"%x\r\n%b\r\n" % (PIECE_BYTES, _PIECE)
_LINE = b"X-Line: " + b"x" * 1000 + b"\r\n"
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

#: What a target sends first, given the id of the request, and what it repeats then.
_ANSWER_BY_MODE: dict[Mode, tuple[Callable[[str], bytes], bytes]] = {
    Mode.SHED_CHUNKED: (
        lambda name: _head(name, "503 Busy", _NOT_RUN, _CHUNKED),
        _CHUNK,
    ),
    Mode.SHED_UNTIL_CLOSE: (lambda name: _head(name, "503 Busy", _NOT_RUN), _PIECE),
    Mode.BUSY_UNTIL_CLOSE: (lambda name: _head(name, "429 Busy"), _PIECE),
    Mode.INFORMATIONAL: (lambda name: b"", _CONTINUE * 1000),
    Mode.CHUNK_EXTENSION: (
        lambda name: _head(name, "200 OK", _CHUNKED) + b"5;x=",
        _PIECE,
    ),
    Mode.TRAILERS: (
        lambda name: _head(name, "200 OK", _CHUNKED) + b"4\r\nhalf\r\n0\r\n",
        _LINE * 50,
    ),
    Mode.HEAD_LINES: (
        lambda name: _head(name, "200 OK").removesuffix(b"\r\n"),
        _LINE * 50,
    ),
    Mode.HEAD_LINE: (
        lambda name: _head(name, "200 OK").removesuffix(b"\r\n") + b"X: ",
        _PIECE,
    ),
    Mode.NO_PROTOCOL: (lambda name: b"", _PIECE),
    Mode.AFTER_ANSWER: (_sound, _PIECE),
    Mode.ANSWERS_AFTER_ANSWER: (_sound, _sound("another") * 500),
    Mode.OTHER_ANSWER: (lambda name: _head("another", "200 OK"), _PIECE),
    Mode.BODY: (lambda name: _head(name, "200 OK"), _PIECE),
}


@dataclass
class EndlessTarget(Target):
    """Answer as the mode says.

    :param mode: What is sent from the next request on.
    :param sent_bytes: Bytes that were sent in answers without end.
    :param closed: Set when a caller has closed such an answer.
    """

    mode: Mode = Mode.SOUND
    sent_bytes: int = 0
    closed: asyncio.Event = field(default_factory=asyncio.Event)
    _server: asyncio.Server | None = None
    _serving: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._on_connection, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening, and close all connections."""
        if self._server is not None:
            self._server.close()
        for serving in list(self._serving):
            await async_cancel(serving)

    def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        serving = asyncio.create_task(self._async_serve(reader, writer))
        self._serving.add(serving)
        serving.add_done_callback(self._serving.discard)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                self.requests.append(head.split(" ", 2)[1])
                await self._async_answer(_request_id(head), writer)
        writer.close()

    async def _async_answer(
        self, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.SOUND:
            writer.write(_sound(request_id))
            return
        first, repeated = _ANSWER_BY_MODE[self.mode]
        writer.write(first(request_id))
        try:
            while True:
                writer.write(repeated)
                await writer.drain()
                self.sent_bytes += len(repeated)
        finally:
            self.closed.set()


def _request_id(head: str) -> str:
    for line in head.split("\r\n"):
        name, _, value = line.partition(":")
        if name.strip().lower() == HEADER_REQUEST_ID.lower():
            return value.strip()
    return ""
