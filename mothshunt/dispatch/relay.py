"""Passing on of an answer part by part."""

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from mothshunt.dispatch.answer import Answer


class AnswerBrokenOffError(ConnectionError):
    """Tell that an answer broke off after a part of it had been passed on."""


async def async_relay(
    request: web.Request, answer: Answer, headers: CIMultiDict[str]
) -> web.StreamResponse:
    """Pass a begun answer on until its end.

    :param request: The caller's request.
    :param answer: The answer, not whole.
    :param headers: Header fields for the caller.
    :raises AnswerBrokenOffError: The target broke the answer off.
    :raises ConnectionError: The caller is gone.
    """
    source = answer.response
    response = web.StreamResponse(
        status=source.status, reason=source.reason, headers=headers
    )
    await response.prepare(request)
    if answer.begun:
        await response.write(answer.begun)
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
