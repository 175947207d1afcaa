"""Result codes of the membership."""

from mothshunt.core.codes import ResultCode

NO_CONTROL_INSTANCE = ResultCode(
    number=4201,
    name="no_control_instance",
    http_status=503,
    summary="No control instance can be reached from this instance.",
    action="Check that the control instances run and the network to them.",
)
JOIN_REFUSED = ResultCode(
    number=4202,
    name="join_refused",
    http_status=409,
    summary="The control instances refused to record this instance.",
    action="Read the detail; remove an instance that is gone for good.",
)
