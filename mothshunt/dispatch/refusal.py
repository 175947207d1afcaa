"""Error responses that an entry instance itself sends, and their counter."""

import json
import math

from aiohttp import web

from mothshunt.core.codes import Failure
from mothshunt.core.const import (
    HEADER_CODE,
    HEADER_RAN,
    HEADER_REQUEST_ID,
    HEADER_RETRY_AFTER,
)
from mothshunt.core.types import RequestId
from mothshunt.dispatch.const import METRIC_REFUSALS
from mothshunt.metrics.registry import Metrics


def refuse(
    metrics: Metrics, failure: Failure, request_id: RequestId | None = None
) -> web.Response:
    """Count a refused request and return the error response to it.

    :param metrics: Metrics of the process.
    :param failure: Why the request got no response from a target.
    :param request_id: Id of the request, if it has one.
    """
    metrics.count(METRIC_REFUSALS, reason=failure.code.name)
    response = error_response(failure)
    if request_id is not None:
        response.headers[HEADER_REQUEST_ID] = request_id
    return response


def error_response(failure: Failure) -> web.Response:
    """Return the error response that reports a failure.

    :param failure: Why the request got no response from a target.
    """
    code = failure.code
    headers = {HEADER_CODE: str(code.number), HEADER_RAN: failure.ran.value}
    if failure.retry_after_s is not None:
        headers[HEADER_RETRY_AFTER] = str(math.ceil(failure.retry_after_s))
    document = {
        "code": code.number,
        "name": code.name,
        "detail": failure.detail or code.summary,
        "ran": failure.ran.value,
        "retry_after_s": failure.retry_after_s,
    }
    return web.Response(
        status=code.http_status,
        headers=headers,
        body=json.dumps(document).encode(),
        content_type="application/json",
    )
