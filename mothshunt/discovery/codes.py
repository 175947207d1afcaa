"""Result codes of the discovery of targets."""

from mothshunt.core.codes import ResultCode

BAD_ANNOUNCEMENT = ResultCode(
    number=2601,
    name="bad_announcement",
    http_status=400,
    summary="The announcement of a target is malformed.",
    action="Correct the fields that the detail lists.",
)
UNKNOWN_CUSTOMER = ResultCode(
    number=2602,
    name="announced_unknown_customer",
    http_status=404,
    summary="No contract in force names the announced customer and service.",
    action="Apply the contract first, or correct the announcement.",
)
STALE_INCARNATION = ResultCode(
    number=2603,
    name="stale_incarnation",
    http_status=409,
    summary="A newer incarnation of the target is known, or this one has left.",
    action="Restart the target with a greater incarnation.",
)
