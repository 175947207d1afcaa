"""Result codes of look-ups."""

from mothshunt.core.codes import ResultCode

BAD_QUERY = ResultCode(
    number=2101,
    name="lookup_bad_query",
    http_status=400,
    summary="A parameter of the look-up is missing or malformed.",
    action="Give customer and service; client, if given, is an IP number.",
)
UNKNOWN_SERVICE = ResultCode(
    number=2102,
    name="lookup_unknown_service",
    http_status=404,
    summary="No contract in force has this customer and service.",
    action="Check the names; apply the customer's contract.",
)
NO_ENTRY = ResultCode(
    number=2103,
    name="lookup_no_entry",
    http_status=503,
    summary="No entry instance accepts new callers.",
    action="Retry after the time given; check members and drains.",
)
NOT_READY = ResultCode(
    number=2104,
    name="lookup_not_ready",
    http_status=503,
    summary="This instance does not have the current configuration yet.",
    action="Ask another instance, or retry after the time given.",
)
