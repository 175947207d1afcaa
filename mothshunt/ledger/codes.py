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
    summary="A request with this idempotency key is still being run.",
    action="Ask again with the same key after the given time.",
)
OUTCOME_UNKNOWN = ResultCode(
    number=2403,
    name="outcome_unknown",
    http_status=409,
    summary="A request with this idempotency key may have been run; no answer came.",
    action="Ask the service whether it was run; this key will not run it again.",
)
ANSWER_NOT_KEPT = ResultCode(
    number=2404,
    name="answer_not_kept",
    http_status=409,
    summary="The request was answered once; the answer was too large to keep.",
    action="Ask the service for the result; this key will not run it again.",
)
LEDGER_FULL = ResultCode(
    number=2405,
    name="ledger_full",
    http_status=503,
    summary="The customer has as many idempotency keys in use as are kept.",
    action="Come back later; the request was not run.",
)
LEDGER_UNAVAILABLE = ResultCode(
    number=2406,
    name="ledger_unavailable",
    http_status=503,
    summary="The idempotency key could not be claimed durably in time.",
    action="Come back later with the same key; the request was not run.",
)
CLAIM_WITHDRAWN = ResultCode(
    number=2407,
    name="claim_withdrawn",
    http_status=503,
    summary="The claim was given up before it was made.",
    action="Send the request again with the same key; it was not run.",
)
