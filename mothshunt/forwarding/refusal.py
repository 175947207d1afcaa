"""Responses to requests that an entry instance refuses."""

from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

from mothshunt.core.codes import Failure
from mothshunt.core.types import Ran, RequestId
from mothshunt.dispatch import codes as dispatch_codes
from mothshunt.dispatch.refusal import error_response
from mothshunt.forwarding.model import HeaderNames

STATUS_UNAUTHENTICATED = 401
STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 502
STATUS_TIMED_OUT = 504
FIRST_ERROR_STATUS = 500


@dataclass(frozen=True, slots=True)
class RefusalBuilder:
    """Builder of responses to requests for which no target's response is sent.

    :param names: Names of the header fields.
    :param format_retry_after: Formats a ``Retry-After`` time given in seconds.
    """

    names: HeaderNames
    format_retry_after: Callable[[float], str]

    def response(self, failure: Failure, request_id: RequestId) -> web.Response:
        """Return the response for a failure.

        :param failure: Reason for which the request gets no target's response.
        :param request_id: Id of the request; empty if it has none.
        """
        response = error_response(failure)
        status = http_status(failure)
        response.set_status(status)
        if failure.retry_after_s is not None and failure.ran is Ran.NO:
            value = self.format_retry_after(failure.retry_after_s)
            response.headers[self.names.retry_after] = value
        else:
            response.headers.popall(self.names.retry_after, None)
        if status == STATUS_UNAUTHENTICATED:
            # RFC 9110 requires the field with this status.
            response.headers["WWW-Authenticate"] = "Bearer"
        if request_id:
            response.headers[self.names.request_id] = request_id
        return response


def http_status(failure: Failure) -> int:
    """Return the HTTP status of a failure; 503 means that no target ran the request.

    :param failure: The failure.
    """
    status = failure.code.http_status
    if status < FIRST_ERROR_STATUS:
        return status
    if failure.ran is Ran.NO:
        return STATUS_NOT_RUN
    if failure.code is dispatch_codes.TARGET_TIMED_OUT:
        return STATUS_TIMED_OUT
    return STATUS_UNKNOWN
