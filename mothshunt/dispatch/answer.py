"""Answers of targets on their way back to the caller."""

import asyncio
from dataclasses import dataclass

from aiohttp import ClientResponse, hdrs, web
from multidict import CIMultiDict

from mothshunt.core.const import HEADER_CODE, HEADER_RAN
from mothshunt.core.types import Ran
from mothshunt.dispatch.const import READ_AHEAD_S, WHOLE_ANSWER_BYTES
from mothshunt.dispatch.request import forwarded_headers

STATUS_SHED = 503
FIRST_ERROR_STATUS = 500

_BODYLESS = frozenset({204, 304})


@dataclass(kw_only=True, slots=True)
class Answer:
    """Hold an answer, whole or begun.

    :param response: The answer as the client holds it.
    :param whole: The whole body; ``None`` when it is streamed.
    :param begun: First part of a body that is streamed.
    """

    response: ClientResponse
    whole: bytes | None
    begun: bytes = b""


def is_shed(response: ClientResponse) -> bool:
    """Tell whether the target says that it did not run the request.

    :param response: Head of the answer.
    """
    return (
        response.status == STATUS_SHED
        and response.headers.get(HEADER_RAN) == Ran.NO.value
    )


def is_framed(response: ClientResponse, method: str) -> bool:
    """Tell whether a truncated body of an answer can be told from a whole one.

    :param response: Head of the answer.
    :param method: Method of the request.
    """
    if method == hdrs.METH_HEAD or response.status in _BODYLESS:
        return True
    if response.content_length is not None:
        return True
    encoding = response.headers.get(hdrs.TRANSFER_ENCODING, "")
    return encoding.lower().endswith("chunked")


async def async_read_answer(
    response: ClientResponse, method: str, *, ahead: bool
) -> Answer:
    """Read a small answer whole, so that a truncated one can be tried again.

    :param response: Head of the answer.
    :param method: Method of the request.
    :param ahead: Whether to wait a little for the end of an answer whose length is
        not known.
    :raises aiohttp.ClientError: The answer was truncated.
    """
    if method == hdrs.METH_HEAD or response.status in _BODYLESS:
        return Answer(response=response, whole=b"")
    content = response.content
    if content.is_eof() and content.exception() is None:
        return Answer(response=response, whole=content.read_nowait())
    length = response.content_length
    if length is not None and length <= WHOLE_ANSWER_BYTES:
        return Answer(response=response, whole=await content.read())
    if length is None and ahead:
        return await _async_read_ahead(response)
    return Answer(response=response, whole=None)


async def _async_read_ahead(response: ClientResponse) -> Answer:
    parts: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(READ_AHEAD_S):
            while size <= WHOLE_ANSWER_BYTES:
                part = await response.content.readany()
                if not part:
                    return Answer(response=response, whole=b"".join(parts))
                parts.append(part)
                size += len(part)
    except TimeoutError:
        pass
    return Answer(response=response, whole=None, begun=b"".join(parts))


def answer_headers(response: ClientResponse) -> CIMultiDict[str]:
    """Return the header fields of an answer that the caller gets.

    :param response: The answer.
    """
    headers = forwarded_headers(response.headers)
    # Only mothshunt says these, so that a caller can trust them.
    headers.popall(HEADER_CODE, None)
    headers.popall(HEADER_RAN, None)
    return headers


def whole_response(answer: Answer, headers: CIMultiDict[str]) -> web.Response:
    """Return a whole answer for the caller.

    :param answer: The answer, whole.
    :param headers: Header fields for the caller.
    """
    return web.Response(
        status=answer.response.status,
        reason=answer.response.reason,
        headers=headers,
        body=answer.whole,
    )
