"""Responses of targets: buffering and preparation for the caller."""

import asyncio
from dataclasses import dataclass

from aiohttp import ClientResponse, hdrs, web
from multidict import CIMultiDict

from mothshunt.core.const import HEADER_CODE, HEADER_RAN
from mothshunt.core.types import Ran
from mothshunt.dispatch.const import MAX_BUFFERED_RESPONSE_BYTES, READ_AHEAD_TIMEOUT_S
from mothshunt.dispatch.request import end_to_end_headers

STATUS_SHED = 503
FIRST_SERVER_ERROR_STATUS = 500

_BODYLESS = frozenset({204, 304})


@dataclass(kw_only=True, slots=True)
class BufferedResponse:
    """Response of a target whose body has been read in full or in part.

    :param response: The response as the HTTP client received it.
    :param body: The complete body; ``None`` when the body is streamed.
    :param prefix: First part of a streamed body, already read.
    """

    response: ClientResponse
    body: bytes | None
    prefix: bytes = b""


def is_shed(response: ClientResponse) -> bool:
    """Whether the target rejected the request without running it.

    :param response: Head of the response.
    """
    return (
        response.status == STATUS_SHED
        and response.headers.get(HEADER_RAN) == Ran.NO.value
    )


def is_framed(response: ClientResponse, method: str) -> bool:
    """Whether the response marks where its body ends.

    Without such a mark, a truncated body looks like a complete one.

    :param response: Head of the response.
    :param method: Method of the request.
    """
    if method == hdrs.METH_HEAD or response.status in _BODYLESS:
        return True
    if response.content_length is not None:
        return True
    encoding = response.headers.get(hdrs.TRANSFER_ENCODING, "")
    return encoding.lower().endswith("chunked")


async def async_buffer_response(
    response: ClientResponse, method: str, *, read_ahead: bool
) -> BufferedResponse:
    """Read a small response in full, so that a truncated one can be retried.

    :param response: Head of the response.
    :param method: Method of the request.
    :param read_ahead: Whether to wait a short time for the end of a response of
        unknown length.
    :raises aiohttp.ClientError: The response was truncated.
    """
    if method == hdrs.METH_HEAD or response.status in _BODYLESS:
        return BufferedResponse(response=response, body=b"")
    content = response.content
    if content.is_eof() and content.exception() is None:
        return BufferedResponse(response=response, body=content.read_nowait())
    length = response.content_length
    if length is not None and length <= MAX_BUFFERED_RESPONSE_BYTES:
        return BufferedResponse(response=response, body=await content.read())
    if length is None and read_ahead:
        return await _async_read_ahead(response)
    return BufferedResponse(response=response, body=None)


async def _async_read_ahead(response: ClientResponse) -> BufferedResponse:
    parts: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(READ_AHEAD_TIMEOUT_S):
            while size <= MAX_BUFFERED_RESPONSE_BYTES:
                part = await response.content.readany()
                if not part:
                    return BufferedResponse(response=response, body=b"".join(parts))
                parts.append(part)
                size += len(part)
    except TimeoutError:
        pass
    return BufferedResponse(response=response, body=None, prefix=b"".join(parts))


def response_headers(response: ClientResponse) -> CIMultiDict[str]:
    """Return the header fields of a response that are forwarded to the caller.

    :param response: The response.
    """
    headers = end_to_end_headers(response.headers)
    # Only mothshunt may set these two; a target's values are dropped.
    headers.popall(HEADER_CODE, None)
    headers.popall(HEADER_RAN, None)
    return headers


def complete_response(
    buffered: BufferedResponse, headers: CIMultiDict[str]
) -> web.Response:
    """Return a response for the caller from one that was read in full.

    :param buffered: The target's response, with its complete body.
    :param headers: Header fields for the caller.
    """
    return web.Response(
        status=buffered.response.status,
        reason=buffered.response.reason,
        headers=headers,
        body=buffered.body,
    )
