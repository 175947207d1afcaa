"""Ends of TCP connections."""

import asyncio
import contextlib
import socket
import struct

from aiohttp import HttpVersion11, web

#: ``SO_LINGER`` with a time of 0: closing discards unsent bytes and resets the
#: connection.
_NO_LINGER = struct.pack("ii", 1, 0)


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
