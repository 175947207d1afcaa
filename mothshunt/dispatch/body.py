"""Bodies of callers' requests: buffering and streaming to targets."""

import asyncio
from collections.abc import AsyncIterator

from aiohttp import hdrs, web

from mothshunt.core.codes import Failure
from mothshunt.dispatch import codes
from mothshunt.dispatch.const import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    MAX_KEYED_BODY_BYTES,
)

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerBodyError(Exception):
    """Failure to read the caller's body up to its end."""


class RequestBody:
    """Body of a caller's request, for one or more attempts.

    :param buffered: The complete body if it is buffered; ``None`` if it is streamed.
    :param request: The caller's request, from which a streamed body is read.
    """

    __slots__ = ("_consumed", "_request", "buffered", "failure")

    def __init__(self, buffered: bytes | None, request: web.Request) -> None:
        self.buffered = buffered
        #: Failure that ended the reading of a streamed body.
        self.failure: Failure | None = None
        self._request = request
        self._consumed = False

    @property
    def is_consumed(self) -> bool:
        """Whether a part of a streamed body was read and can't be sent again."""
        return self._consumed

    def payload(self) -> bytes | AsyncIterator[bytes] | None:
        """Return the body to send in one attempt; ``None`` stands for no body."""
        if self.buffered is None:
            return self._stream()
        return self.buffered or None

    async def _stream(self) -> AsyncIterator[bytes]:
        size = 0
        while True:
            try:
                part = await self._request.content.readany()
            except Exception as error:
                self.failure = _incomplete()
                raise CallerBodyError from error
            if not part:
                return
            self._consumed = True
            size += len(part)
            if size > MAX_BODY_BYTES:
                self.failure = Failure(code=codes.BODY_TOO_LARGE)
                raise CallerBodyError
            yield part


async def async_read_body(
    request: web.Request, *, keyed: bool, timeout_s: float
) -> RequestBody | Failure:
    """Buffer a small request body, or prepare a large one for streaming.

    :param request: The caller's request.
    :param keyed: Whether the request has an idempotency key; its body is hashed and
        therefore always buffered.
    :param timeout_s: Longest time to wait for the body, in seconds.
    """
    if not request.body_exists:
        # Neither a length nor a transfer encoding means no body (RFC 9112, 6.3).
        return RequestBody(b"", request)
    limit = MAX_KEYED_BODY_BYTES if keyed else MAX_BUFFERED_BODY_BYTES
    length = request.content_length
    if length is not None and length > (limit if keyed else MAX_BODY_BYTES):
        return Failure(code=codes.BODY_TOO_LARGE)
    if request.headers.get(hdrs.EXPECT, "").lower() == "100-continue":
        await request.writer.write(_CONTINUE)
        # aiohttp would otherwise count the interim response as a started response.
        request.writer.output_size = 0
    if not keyed and (length is None or length > limit):
        return RequestBody(None, request)
    try:
        async with asyncio.timeout(timeout_s):
            return await _async_buffer(request, limit)
    except TimeoutError:
        return _incomplete()


async def _async_buffer(request: web.Request, limit: int) -> RequestBody | Failure:
    parts: list[bytes] = []
    size = 0
    while True:
        try:
            part = await request.content.readany()
        except Exception:
            return _incomplete()
        if not part:
            return RequestBody(b"".join(parts), request)
        size += len(part)
        if size > limit:
            return Failure(code=codes.BODY_TOO_LARGE)
        parts.append(part)


def _incomplete() -> Failure:
    return Failure(code=codes.BODY_INCOMPLETE)
