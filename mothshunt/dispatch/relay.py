"""Streaming of a target's response to the caller."""

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from mothshunt.dispatch.answer import BufferedResponse


class AnswerBrokenOffError(ConnectionError):
    """End of a response before its last byte, after a part was sent to the caller."""


async def async_relay(
    request: web.Request, buffered: BufferedResponse, headers: CIMultiDict[str]
) -> web.StreamResponse:
    """Stream a response to the caller up to its end.

    :param request: The caller's request.
    :param buffered: The response, of which at most a prefix has been read.
    :param headers: Header fields for the caller.
    :raises AnswerBrokenOffError: The target ended the response early.
    :raises ConnectionError: The caller disconnected.
    """
    source = buffered.response
    response = web.StreamResponse(
        status=source.status, reason=source.reason, headers=headers
    )
    await response.prepare(request)
    if buffered.prefix:
        await response.write(buffered.prefix)
    while True:
        try:
            part = await source.content.readany()
        except (aiohttp.ClientError, OSError) as error:
            raise AnswerBrokenOffError(str(error)) from error
        if not part:
            break
        await response.write(part)
    await response.write_eof()
    return response
