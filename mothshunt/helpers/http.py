"""HTTP responses that carry a result code."""

import math

from aiohttp import web

from mothshunt.core.codes import Failure
from mothshunt.core.const import HEADER_CODE, HEADER_RAN, HEADER_RETRY_AFTER


def failure_headers(failure: Failure) -> dict[str, str]:
    """Return the headers that describe a failure.

    :param failure: The failure.
    """
    headers = {
        HEADER_CODE: str(failure.code.number),
        HEADER_RAN: failure.ran.value,
    }
    if failure.retry_after_s is not None:
        headers[HEADER_RETRY_AFTER] = str(max(1, math.ceil(failure.retry_after_s)))
    return headers


def failure_response(failure: Failure) -> web.Response:
    """Return the response that describes a failure.

    :param failure: The failure.
    """
    document = {
        "code": failure.code.number,
        "name": failure.code.name,
        "detail": failure.detail,
        "ran": failure.ran.value,
        "retry_after_s": failure.retry_after_s,
    }
    return web.json_response(
        document, status=failure.code.http_status, headers=failure_headers(failure)
    )
