"""Conversion of replies and refusals to HTTP answers."""

import json

from aiohttp import web

from mothshunt.admin.const import METRIC_REFUSALS
from mothshunt.admin.messages import Refusal, Reply
from mothshunt.admin.model import ErrorDocument, FaultDocument
from mothshunt.core.codes import Failure
from mothshunt.helpers.http import failure_headers
from mothshunt.metrics.registry import Metrics
from mothshunt.util import schema

CONTENT_TYPE = "application/json"


def reply_response(reply: Reply) -> web.Response:
    """Return the HTTP answer of a reply.

    :param reply: The reply.
    """
    response = web.Response(
        body=schema.to_json(reply.body), status=reply.status, content_type=CONTENT_TYPE
    )
    if reply.revision is not None:
        response.headers["ETag"] = f'"{reply.revision}"'
    return response


def refusal_response(refusal: Refusal, metrics: Metrics) -> web.Response:
    """Return the HTTP answer of a refusal, and count it.

    :param refusal: The refusal.
    :param metrics: Where it is counted by its code.
    """
    failure = refusal.failure
    metrics.count(METRIC_REFUSALS, reason=failure.code.name)
    response = web.Response(
        body=json.dumps(_document_without_gaps(refusal)).encode(),
        status=failure.code.http_status,
        content_type=CONTENT_TYPE,
        headers=failure_headers(failure),
    )
    if failure.code.http_status == web.HTTPUnauthorized.status_code:
        response.headers["WWW-Authenticate"] = "Bearer"
    return response


def _document_without_gaps(refusal: Refusal) -> dict[str, object]:
    failure = refusal.failure
    document = ErrorDocument(
        code=failure.code.number,
        name=failure.code.name,
        detail=failure.detail or failure.code.summary,
        ran=failure.ran.value,
        path=failure.path or None,
        faults=tuple(map(_fault, refusal.faults)) or None,
        retry_after_s=failure.retry_after_s,
        change_id=refusal.change_id,
        winner=refusal.winner,
        control=refusal.control or None,
    )
    plain = schema.to_plain(document)
    return {key: value for key, value in plain.items() if value is not None}


def _fault(failure: Failure) -> FaultDocument:
    return FaultDocument(
        code=failure.code.number,
        name=failure.code.name,
        path=failure.path,
        detail=failure.detail or failure.code.summary,
    )
