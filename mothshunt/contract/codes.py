"""Result codes of the contract check."""

from mothshunt.core.codes import ResultCode

MALFORMED = ResultCode(
    number=3101,
    name="contract_malformed",
    http_status=400,
    summary="The contract is not valid JSON.",
    action="Correct the JSON at the line and column given in the detail.",
)
INVALID = ResultCode(
    number=3102,
    name="contract_invalid",
    http_status=422,
    summary="A value in the contract is missing, unknown or out of range.",
    action="Correct the value at the path; docs/CONFIGURATION.md lists all keys.",
)
DUPLICATE_KEY = ResultCode(
    number=3103,
    name="contract_duplicate_key",
    http_status=422,
    summary="A JSON object in the contract contains a key twice.",
    action="Remove one of the two; which one is meant can't be determined.",
)
DUPLICATE = ResultCode(
    number=3104,
    name="contract_duplicate",
    http_status=422,
    summary="The contract lists a service, region or link twice.",
    action="Remove or rename the list item at the path.",
)
UNKNOWN_REGION = ResultCode(
    number=3105,
    name="contract_unknown_region",
    http_status=422,
    summary="A link refers to a region for which the contract sets no capacity.",
    action="Add the region to /regions or correct its name.",
)
LINK_TO_ITSELF = ResultCode(
    number=3106,
    name="contract_link_to_itself",
    http_status=422,
    summary="A link connects a region to itself.",
    action="Remove the link; traffic within a region uses no link.",
)
LINK_ABOVE_REGION = ResultCode(
    number=3107,
    name="contract_link_above_region",
    http_status=422,
    summary="The capacity of a link exceeds that of its destination region.",
    action="Reduce the capacity of the link or increase that of the region.",
)
SHIFT_ABOVE_REGIONS = ResultCode(
    number=3108,
    name="contract_shift_above_regions",
    http_status=422,
    summary="The shift cap exceeds the capacity left if the largest region is lost.",
    action="Reduce /shift/cap to the sum given in the detail, or increase capacities.",
)
STEP_ABOVE_CAP = ResultCode(
    number=3109,
    name="contract_step_above_cap",
    http_status=422,
    summary="The shift step exceeds the shift cap.",
    action="Reduce /shift/step to the shift cap or less.",
)
RULE_PATTERN = ResultCode(
    number=3110,
    name="contract_rule_pattern",
    http_status=422,
    summary="The path of an idempotent rule contains a * before its end.",
    action="Move the * to the end of the path or write the path in full.",
)
RULE_REPEATED = ResultCode(
    number=3111,
    name="contract_rule_repeated",
    http_status=422,
    summary="An idempotent rule is repeated or covered by a broader one.",
    action="Keep one of the two; otherwise, removing one would have no effect.",
)
