"""Result codes of operators and their roles."""

from mothshunt.core.codes import ResultCode

TOKEN_MISSING = ResultCode(
    number=3201,
    name="token_missing",
    http_status=401,
    summary="The request has no operator token.",
    action="Send the header Authorization: Bearer TOKEN.",
)
TOKEN_UNKNOWN = ResultCode(
    number=3202,
    name="token_unknown",
    http_status=401,
    summary="The token of the request belongs to no operator.",
    action="Check the token, or ask an administrator for a new one.",
)
ROLE_INSUFFICIENT = ResultCode(
    number=3203,
    name="role_insufficient",
    http_status=403,
    summary="The operator does not have the role that the request requires.",
    action="Ask an administrator for the role given in the detail.",
)
LAST_ADMINISTRATOR = ResultCode(
    number=3204,
    name="last_administrator",
    http_status=409,
    summary="No operator with the role administer for all customers would remain.",
    action="Give another operator the role administer for * first.",
)
OPERATOR_UNKNOWN = ResultCode(
    number=3205,
    name="operator_unknown",
    http_status=404,
    summary="There is no operator with this name.",
    action="List the operators with: mothshunt operators list.",
)
OPERATOR_INVALID = ResultCode(
    number=3206,
    name="operator_invalid",
    http_status=422,
    summary="The name, token hash or roles of an operator are not valid.",
    action="Correct the value at the path.",
)
