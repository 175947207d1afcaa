"""Result codes of the configuration."""

from mothshunt.core.codes import ResultCode

CHANGE_ID_REUSED = ResultCode(
    number=4101,
    name="change_id_reused",
    http_status=409,
    summary="The change id was already used for a different change.",
    action="Send the change again with a new change id.",
)
TOO_MANY_CONTROL_INSTANCES = ResultCode(
    number=4102,
    name="too_many_control_instances",
    http_status=409,
    summary="The deployment has as many control instances as are allowed.",
    action="Remove a control instance first.",
)
BAD_OUTCOME = ResultCode(
    number=4103,
    name="configuration_bad_outcome",
    http_status=500,
    summary="The outcome of a change could not be decoded.",
    action="Make sure that all instances run the same release.",
)
