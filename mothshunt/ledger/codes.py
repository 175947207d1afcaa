"""Result codes of the ledger slice."""

from mothshunt.core.codes import ResultCode

KEY_CONFLICT = ResultCode(
    number=2401,
    name="key_conflict",
    http_status=422,
    summary="The idempotency key was used with another request.",
    action="Choose a new key for a new request.",
)
IN_PROGRESS = ResultCode(
    number=2402,
    name="in_progress",
    http_status=409,
    summary="A request with this idempotency key is still running.",
    action="Repeat the request with the same key after the Retry-After time.",
)
OUTCOME_UNKNOWN = ResultCode(
    number=2403,
    name="outcome_unknown",
    http_status=409,
    summary="A request with this key may have run; its response was never recorded.",
    action="Ask the service whether it ran; a repeat with this key won't run.",
)
ANSWER_NOT_KEPT = ResultCode(
    number=2404,
    name="answer_not_kept",
    http_status=409,
    summary="The request ran once; its response was too large to be stored.",
    action="Ask the service for the result; a repeat with this key won't run.",
)
LEDGER_FULL = ResultCode(
    number=2405,
    name="ledger_full",
    http_status=503,
    summary="The number of stored idempotency keys has reached its limit.",
    action="Retry later; the request was not run.",
)
LEDGER_UNAVAILABLE = ResultCode(
    number=2406,
    name="ledger_unavailable",
    http_status=503,
    summary="The claim of the idempotency key was not confirmed in time.",
    action="Retry later with the same key; the request was not run.",
)
CLAIM_WITHDRAWN = ResultCode(
    number=2407,
    name="claim_withdrawn",
    http_status=503,
    summary="The claim was released before it was committed.",
    action="Send the request again with the same key; it was not run.",
)
