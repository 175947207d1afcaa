"""Options and ends of TCP connections."""

import asyncio
import contextlib
import select
import socket
import struct

from aiohttp import HttpVersion11, web

#: ``SO_LINGER`` with a time of 0: closing discards unsent bytes and resets the
#: connection.
_NO_LINGER = struct.pack("ii", 1, 0)

#: Bytes that are read from a connection at a time. By itself asyncio reads up to 256
#: KiB, all of which is kept while the receiver of a stream is slow.
RECEIVE_BYTES = 32 * 1024
#: Unread bytes of a body from which on no more are read; aiohttp takes twice of it.
READ_BUFFER_BYTES = 16 * 1024


def limit_receives(transport: asyncio.BaseTransport) -> None:
    """Limit the bytes that the event loop reads from a connection at a time.

    :param transport: Transport of the connection.
    """
    if hasattr(transport, "max_size"):
        transport.max_size = RECEIVE_BYTES


def is_closed_by_peer(transport: asyncio.BaseTransport) -> bool:
    """Return whether the other end of a connection has closed it.

    The event loop learns of this only after it has read what was sent before.

    :param transport: Transport of the connection.
    """
    if transport.is_closing():
        return True
    poll = select.poll()
    # Errors and resets are reported without being asked for.
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection, so that no further byte of it is sent.

    :param transport: Transport of the connection.
    """
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        # The other end may have closed the connection already.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()


def break_off_response(request: web.BaseRequest) -> None:
    """Close a caller's connection in the middle of the response to its request.

    The framing of HTTP/1.1 shows that the response is truncated. To a caller that
    speaks HTTP/1.0 an orderly close may be the end of a complete response.

    :param request: The caller's request.
    """
    transport = request.transport
    if transport is None:
        return
    if request.version < HttpVersion11:
        reset(transport)
    else:
        transport.abort()
