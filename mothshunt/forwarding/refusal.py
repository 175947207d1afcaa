"""Answers that an entry instance gives itself to routed requests."""

from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

from mothshunt.core.codes import Failure
from mothshunt.core.types import Ran, RequestId
from mothshunt.dispatch import codes as dispatch_codes
from mothshunt.dispatch.refusal import error_response
from mothshunt.forwarding.model import HeaderNames

STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 502
STATUS_TIMED_OUT = 504
FIRST_ERROR_STATUS = 500


@dataclass(frozen=True, slots=True)
class Refuser:
    """Make the answer to a request that gets none from a target.

    :param names: Names of the header fields.
    :param format_retry_after: Writes the time to come back, given in seconds.
    """

    names: HeaderNames
    format_retry_after: Callable[[float], str]

    def response(self, failure: Failure, request_id: RequestId) -> web.Response:
        """Return the answer that tells of a failure.

        :param failure: Why the request got no answer from a target.
        :param request_id: Name of the request, where it has one.
        """
        response = error_response(failure)
        response.set_status(status_of(failure))
        if failure.retry_after_s is not None and failure.ran is Ran.NO:
            value = self.format_retry_after(failure.retry_after_s)
            response.headers[self.names.retry_after] = value
        else:
            response.headers.popall(self.names.retry_after, None)
        if request_id:
            response.headers[self.names.request_id] = request_id
        return response


def status_of(failure: Failure) -> int:
    """Return the HTTP status of a failure; 503 promises that nothing was run.

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
