"""Result codes of the dispatch slice."""

from mothshunt.core.codes import ResultCode

MALFORMED_HTTP = ResultCode(
    number=2001,
    name="malformed_http",
    http_status=400,
    summary="The request is not well-formed HTTP, or its header is too large.",
    action="Correct the request; a header field may have at most 8190 bytes.",
)
UNKNOWN_PATH = ResultCode(
    number=2002,
    name="unknown_path",
    http_status=404,
    summary="The traffic address has no handler for this method and path.",
    action="Use /v1/services/{customer}/{service}/{path}.",
)
UNKNOWN_CUSTOMER = ResultCode(
    number=2003,
    name="unknown_customer",
    http_status=404,
    summary="No contract is in force for this customer.",
    action="Check the name, or apply a contract for the customer.",
)
UNKNOWN_SERVICE = ResultCode(
    number=2004,
    name="unknown_service",
    http_status=404,
    summary="The customer's contract does not contain this service.",
    action="Check the name, or add the service to the contract.",
)
BODY_TOO_LARGE = ResultCode(
    number=2005,
    name="body_too_large",
    http_status=413,
    summary="The request body is larger than the limit.",
    action="Send a smaller body; the limit is lower with an idempotency key.",
)
BAD_HEADER = ResultCode(
    number=2006,
    name="bad_header",
    http_status=400,
    summary="A header field that mothshunt reads has an invalid value.",
    action="Correct the header field named in the detail.",
)
BODY_INCOMPLETE = ResultCode(
    number=2007,
    name="body_incomplete",
    http_status=400,
    summary="The request body ended early or was malformed.",
    action="Send the request again with its complete body.",
)
LEASE_ENDED = ResultCode(
    number=2017,
    name="lease_ended",
    http_status=503,
    summary="The lease of the request's permit ended before the request was sent.",
    action="Send the request again; it was not run.",
)
DEADLINE_PASSED = ResultCode(
    number=2010,
    name="deadline_passed",
    http_status=504,
    summary="The deadline passed before the request was sent to a target.",
    action="Allow more time, or retry later.",
)
TARGET_UNREACHABLE = ResultCode(
    number=2011,
    name="target_unreachable",
    http_status=503,
    summary="No connection to a target could be opened.",
    action="Retry later; the request was not run.",
)
TARGET_SHED = ResultCode(
    number=2012,
    name="target_shed",
    http_status=503,
    summary="The target rejected the request without running it.",
    action="Retry later; the request was not run.",
)
TARGET_BROKE = ResultCode(
    number=2013,
    name="target_broke",
    http_status=502,
    summary="The connection to the target broke before the response was complete.",
    action="Ask the service whether the request was run before sending it again.",
)
TARGET_TIMED_OUT = ResultCode(
    number=2014,
    name="target_timed_out",
    http_status=504,
    summary="The target did not respond before the deadline.",
    action="Ask the service whether the request was run before sending it again.",
)
ANSWER_UNFRAMED = ResultCode(
    number=2016,
    name="answer_unframed",
    http_status=502,
    summary="The target's response indicates neither its length nor its end.",
    action="Have the target send Content-Length or chunked transfer encoding.",
)
INTERNAL = ResultCode(
    number=2015,
    name="dispatch_internal_error",
    http_status=500,
    summary="The entry instance failed with an internal error.",
    action="Report the log line with this request id.",
)
