"""HTTP connections that are closed on invalid or endless responses."""

import asyncio
import re
from functools import partial
from typing import Any

from aiohttp import ClientPayloadError, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from mothshunt.helpers import transports
from mothshunt.helpers.response_head import StatusLineReader, find_head_error

#: Largest number of bytes of one response outside of its body: heads, informational
#: responses, responses to earlier requests, chunk extensions, trailers and what follows
#: its end. Has room for some long heads and two small responses to earlier requests.
MAX_OVERHEAD_BYTES = 256 * 1024
#: Further overhead bytes allowed for each byte of the body: a chunk of one byte has
#: five bytes of framing (RFC 9112, 7.1).
OVERHEAD_BYTES_PER_BODY_BYTE = 8


_HEAD_END = b"\r\n\r\n"
_LAST_CHUNK = b"\r\n0\r\n\r\n"
_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d{1,9})[ \t]*\r\n", re.I)


def _split_after_response(data: bytes) -> tuple[bytes, bytes]:
    """Split bytes where the response that they begin with seems to end.

    If a later part of the data is invalid, aiohttp's parser discards the complete
    responses in the same data as well. A split in the wrong place does no harm.
    """
    head_end = data.find(_HEAD_END)
    if head_end < 0:
        return data, b""
    match = _CONTENT_LENGTH.search(data, 0, head_end + len(_HEAD_END))
    if match is not None:
        end = head_end + len(_HEAD_END) + int(match[1])
    else:
        last_chunk = data.find(_LAST_CHUNK, head_end)
        end = last_chunk + len(_LAST_CHUNK) if last_chunk >= 0 else len(data)
    return data[:end], data[end:]


class BoundedResponseHandler(ResponseHandler):
    """Connection to a server, closed if too many bytes are outside of response bodies.

    Without the bound, a server could keep sending without ever completing a response.
    It is also closed if the head of a response is not valid.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._received_bytes = 0
        self._status_line = StatusLineReader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit what is read at a time.

        :param transport: Transport of the connection.
        """
        transports.limit_receives(transport)
        super().connection_made(transport)

    def set_response_params(self, **options: Any) -> None:
        """Prepare to read the response to a request.

        :param options: Options of aiohttp's parser.
        """
        self._received_bytes = 0
        self._status_line.reset()
        options.setdefault("read_bufsize", transports.READ_BUFFER_BYTES)
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and close the connection if the overhead is too large.

        :param data: Bytes that the target sent.
        """
        self._received_bytes += len(data)
        while data and self._has_valid_start(data):
            piece, data = self._split_at_next_head(data)
            super().data_received(piece)
        payload = self._payload
        body_bytes = payload.total_bytes if payload is not None else 0
        overhead_bytes = self._received_bytes - body_bytes
        if (
            overhead_bytes
            > MAX_OVERHEAD_BYTES + OVERHEAD_BYTES_PER_BODY_BYTE * body_bytes
        ):
            self.break_off("too many bytes outside of response bodies")

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Queue a response for its reader, or close the connection if it is invalid.

        :param data: Head and body stream of the response.
        :param size: Not used by aiohttp's connections.
        """
        if self.exception() is not None:
            # What follows an invalid response on its connection is no response either.
            return
        error = find_head_error(data[0])
        if error is not None:
            self.break_off(error)
            return
        # Behind a final response, the beginning of another one isn't known for certain.
        if self._status_line.is_informational:
            self._status_line.reset()
        super().feed_data(data, size)

    def _has_valid_start(self, data: bytes) -> bool:
        """Whether the bytes begin with a part of a response that is valid so far.

        The connection is closed if they don't.
        """
        if self.exception() is not None:
            return False
        error = self._status_line.find_error(data)
        if error is not None:
            self.break_off(error)
        return error is None

    def _split_at_next_head(self, data: bytes) -> tuple[bytes, bytes]:
        """Split bytes where the head of another response may begin."""
        if self._status_line.is_informational:
            # Its head ends with one of its lines, which may be received in parts.
            line, newline, rest = data.partition(b"\n")
            return line + newline, rest
        if self._is_awaiting_head():
            return _split_after_response(data)
        return data, b""

    def _is_awaiting_head(self) -> bool:
        return self._payload is None or self._payload.is_eof()

    def break_off(self, reason: str) -> None:
        """Close the connection at once; a response in progress fails as incomplete.

        By itself aiohttp takes a response without a length as complete when this side
        closes the connection.

        :param reason: Reason for the close, the text of the error.
        """
        error = ClientPayloadError(reason)
        payload: StreamReader | None = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class BoundedConnector(TCPConnector):
    """Connector whose connections are closed on invalid or endless responses."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory = partial(self._make_protocol)

    def _make_protocol(self) -> ResponseHandler:
        return BoundedResponseHandler(self._loop)
