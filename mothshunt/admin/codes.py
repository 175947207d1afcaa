"""Result codes of the administration API."""

from mothshunt.core.codes import ResultCode

NOT_CONTROL = ResultCode(
    number=3001,
    name="not_control",
    http_status=421,
    summary="This instance doesn't have the role control and takes no changes.",
    action="Ask one of the control instances that the answer names.",
)
ROUTE_UNKNOWN = ResultCode(
    number=3002,
    name="route_unknown",
    http_status=404,
    summary="The administration API has no such path.",
    action="See /v1/openapi.json for the paths.",
)
METHOD_NOT_ALLOWED = ResultCode(
    number=3003,
    name="method_not_allowed",
    http_status=405,
    summary="The path is not served with this method.",
    action="See /v1/openapi.json for the methods of the path.",
)
BODY_TOO_LARGE = ResultCode(
    number=3004,
    name="admin_body_too_large",
    http_status=413,
    summary="The body of the request is larger than 1 MiB.",
    action="Send a smaller body.",
)
BODY_INVALID = ResultCode(
    number=3005,
    name="admin_body_invalid",
    http_status=400,
    summary="The body is no JSON text or doesn't have the form that is asked for.",
    action="Correct the places that the faults name.",
)
PARAMETER_INVALID = ResultCode(
    number=3006,
    name="admin_parameter_invalid",
    http_status=400,
    summary="A parameter in the path or query is missing, unknown or out of bounds.",
    action="Correct the parameters that the faults name.",
)
CONTRACT_FAULTY = ResultCode(
    number=3007,
    name="contract_faulty",
    http_status=422,
    summary="The contract has faults; nothing was changed.",
    action="Correct every place that the faults name.",
)
CUSTOMER_MISMATCH = ResultCode(
    number=3008,
    name="customer_mismatch",
    http_status=422,
    summary="The contract names another customer than the path.",
    action="Send the contract to the path of its customer.",
)
CHANGE_CONFLICT = ResultCode(
    number=3009,
    name="change_conflict",
    http_status=409,
    summary="Another change of the item was accepted first; this one was not.",
    action="Read the item again and base the change on its present revision.",
)
CHANGE_REFUSED = ResultCode(
    number=3010,
    name="change_refused",
    http_status=422,
    summary="The change was refused; nothing was changed.",
    action="See the detail; use a new change id for a different change.",
)
CHANGE_OUTCOME_UNKNOWN = ResultCode(
    number=3011,
    name="change_outcome_unknown",
    http_status=504,
    summary="No majority answered in time; the change may still be accepted.",
    action="Ask /v1/changes/{change_id}, or send the same change id again.",
)
CHANGE_UNKNOWN = ResultCode(
    number=3012,
    name="change_unknown",
    http_status=404,
    summary="No change of this id has been accepted so far.",
    action="Send the change with this id, or ask again if it may be on its way.",
)
CONTRACT_UNKNOWN = ResultCode(
    number=3013,
    name="contract_unknown",
    http_status=404,
    summary="The customer has no contract.",
    action="List the contracts with: mothshunt contract list.",
)
DRAIN_UNKNOWN = ResultCode(
    number=3014,
    name="drain_unknown",
    http_status=404,
    summary="There is no such drain.",
    action="List the drains with: mothshunt drain list.",
)
REVISION_UNKNOWN = ResultCode(
    number=3015,
    name="revision_unknown",
    http_status=404,
    summary="The history holds no value of the item at this revision.",
    action="See the revisions with: mothshunt contract history.",
)
TOO_MANY_VOTERS = ResultCode(
    number=3016,
    name="too_many_voters",
    http_status=409,
    summary="The deployment has as many control instances as are allowed.",
    action="Remove a voter first.",
)
VOTER_UNKNOWN = ResultCode(
    number=3017,
    name="voter_unknown",
    http_status=404,
    summary="The instance is no voter, or its peer address is not known.",
    action="See the voters with: mothshunt members list.",
)
LAST_VOTER = ResultCode(
    number=3018,
    name="last_voter",
    http_status=409,
    summary="The only voter can't be removed.",
    action="Add another voter first.",
)
VOTER_WITHOUT_ROLE = ResultCode(
    number=3021,
    name="voter_without_role",
    http_status=409,
    summary="The instance doesn't have the role control and keeps no log.",
    action="Give it the role and a data folder in its settings and start it again.",
)
INTERNAL = ResultCode(
    number=3019,
    name="admin_internal_error",
    http_status=500,
    summary="The administration API met an error of its own.",
    action="See the logs of the instance; please report it.",
)
REQUEST_MALFORMED = ResultCode(
    number=3020,
    name="admin_request_malformed",
    http_status=400,
    summary="The request is not valid HTTP.",
    action="Correct the request.",
)
