"""Passing on of an answer part by part."""

from aiohttp import web
from multidict import CIMultiDict

from mothshunt.dispatch.answer import Answer


async def async_relay(
    request: web.Request, answer: Answer, headers: CIMultiDict[str]
) -> web.StreamResponse:
    """Pass a begun answer on until its end.

    :param request: The caller's request.
    :param answer: The answer, not whole.
    :param headers: Header fields for the caller.
    :raises aiohttp.ClientError: The answer broke off.
    """
    source = answer.response
    response = web.StreamResponse(
        status=source.status, reason=source.reason, headers=headers
    )
    await response.prepare(request)
    if answer.begun:
        await response.write(answer.begun)
    while part := await source.content.readany():
        await response.write(part)
    await response.write_eof()
    return response
