"""Result codes of the receipt slice."""

from mothshunt.core.codes import ResultCode

CALLER_LEFT = ResultCode(
    number=1201,
    name="caller_left",
    http_status=503,
    summary="The caller closed its connection before the call was run.",
    action="Send the call again if it is still wanted.",
)
CALL_OUTDATED = ResultCode(
    number=1202,
    name="call_outdated",
    http_status=503,
    summary="The instance was suspended; later calls may have been run elsewhere.",
    action="Send the same call again, to any control instance.",
)
