"""Request bodies on their way from the caller to a target."""

import asyncio
from collections.abc import AsyncIterator

from aiohttp import hdrs, web

from mothshunt.core.codes import Failure
from mothshunt.dispatch import codes
from mothshunt.dispatch.const import (
    KEYED_BODY_BYTES,
    MAX_BODY_BYTES,
    REPEATABLE_BODY_BYTES,
)

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerBodyError(Exception):
    """Tell that the caller's body could not be read to its end."""


class RequestBody:
    """Give a request body to one or more attempts.

    :param whole: The body where it is kept whole; ``None`` where it is streamed.
    :param request: The caller's request, of which a streamed body is read.
    """

    __slots__ = ("_request", "_taken", "failure", "whole")

    def __init__(self, whole: bytes | None, request: web.Request) -> None:
        self.whole = whole
        #: Why the caller's body could not be read to its end.
        self.failure: Failure | None = None
        self._request = request
        self._taken = False

    @property
    def gone(self) -> bool:
        """Whether a part of the body can't be sent again."""
        return self._taken

    def for_attempt(self) -> bytes | AsyncIterator[bytes] | None:
        """Return the body for one attempt; ``None`` stands for no body."""
        if self.whole is None:
            return self._stream()
        return self.whole or None

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
            self._taken = True
            size += len(part)
            if size > MAX_BODY_BYTES:
                self.failure = Failure(code=codes.BODY_TOO_LARGE)
                raise CallerBodyError
            yield part


async def async_read_body(
    request: web.Request, *, keyed: bool, timeout_s: float
) -> RequestBody | Failure:
    """Read a request body whole where it is small, and leave it to stream if not.

    :param request: The caller's request.
    :param keyed: Whether the whole body is needed for its hash.
    :param timeout_s: Seconds to wait for the body.
    """
    if not request.body_exists:
        # RFC 9112, 6.3: neither a length nor a transfer encoding.
        return RequestBody(b"", request)
    limit = KEYED_BODY_BYTES if keyed else REPEATABLE_BODY_BYTES
    length = request.content_length
    if length is not None and length > (limit if keyed else MAX_BODY_BYTES):
        return Failure(code=codes.BODY_TOO_LARGE)
    if request.headers.get(hdrs.EXPECT, "").lower() == "100-continue":
        await request.writer.write(_CONTINUE)
        # The interim answer does not count as a begun answer.
        request.writer.output_size = 0
    if not keyed and (length is None or length > limit):
        return RequestBody(None, request)
    try:
        async with asyncio.timeout(timeout_s):
            return await _async_read_whole(request, limit)
    except TimeoutError:
        return _incomplete()


async def _async_read_whole(request: web.Request, limit: int) -> RequestBody | Failure:
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
