"""A target for the hop benchmark: answers every request with the same small body.

Usage: ``python -m bench.hop_target``; prints its port, then runs until ``SIGTERM``.
"""

import asyncio

BODY = b'{"cabinet": "c-17", "state": "locked", "power_w": 812}' + b" " * 446
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
)
HEAD_END = b"\r\n\r\n"
LENGTH = b"content-length:"


class TargetProtocol(asyncio.Protocol):
    """Answer each request of one connection."""

    def __init__(self) -> None:
        self._buffer = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer the requests that are whole."""
        self._buffer += data
        while (end := self._buffer.find(HEAD_END)) >= 0:
            total = end + len(HEAD_END) + _body_length(self._buffer[:end])
            if len(self._buffer) < total:
                return
            self._buffer = self._buffer[total:]
            assert self._transport is not None
            self._transport.write(ANSWER)


def _body_length(head: bytes) -> int:
    lower = head.lower()
    start = lower.find(LENGTH)
    if start < 0:
        return 0
    return int(lower[start + len(LENGTH) :].split(b"\r\n", 1)[0])


async def async_main() -> None:
    """Serve until the process is stopped."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(TargetProtocol, "127.0.0.1", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(async_main())
