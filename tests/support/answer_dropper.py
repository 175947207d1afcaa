"""TCP proxy that hands requests on, and drops or alters the first answers."""

import asyncio
import contextlib

CHUNK_BYTES = 65536


class AnswerDropper:
    """Drop the answers to the first requests of one method, or replace bytes in them.

    Each connection carries one request, as the command line does it. ``seen``
    counts the requests of the method that reached the server.
    """

    def __init__(self, upstream_port, method, dropped, replaced=None):
        self._upstream_port = upstream_port
        self._method = method.encode()
        self._left = dropped
        self._replaced = replaced
        self._server = None
        self.seen = 0

    @property
    def port(self):
        return self._server.sockets[0].getsockname()[1]

    def drop_next(self, count):
        """Drop the answers to the next requests of the method."""
        self._left = count

    async def async_start(self):
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)

    async def async_stop(self):
        self._server.close()

    async def _async_serve(self, reader, writer):
        upstream_reader, upstream = await asyncio.open_connection(
            "127.0.0.1", self._upstream_port
        )
        request = await reader.read(CHUNK_BYTES)
        upstream.write(request)
        sending = asyncio.create_task(_async_pump(reader, upstream))
        answer = await upstream_reader.read(CHUNK_BYTES)
        is_dropped = self._is_dropped(request)
        if is_dropped and self._replaced is not None:
            answer = answer.replace(*self._replaced, 1)
        if not is_dropped or self._replaced is not None:
            writer.write(answer)
            await _async_pump(upstream_reader, writer)
        sending.cancel()
        upstream.close()
        writer.close()

    def _is_dropped(self, request):
        if not request.startswith(self._method + b" "):
            return False
        self.seen += 1
        self._left -= 1
        return self._left >= 0


async def _async_pump(reader, writer):
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(CHUNK_BYTES):
            writer.write(data)
            await writer.drain()
