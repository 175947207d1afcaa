"""Result codes of forwarding; codes shared with dispatch are defined there."""

from mothshunt.core.codes import ResultCode

NOT_READY = ResultCode(
    number=2801,
    name="entry_not_ready",
    http_status=503,
    summary="The instance has not received the configuration yet, or is leaving.",
    action="Use another entry instance, or retry after the time in `Retry-After`.",
)
UNKNOWN_ROUTE = ResultCode(
    number=2802,
    name="routed_path_unknown",
    http_status=404,
    summary="No route of the host is a prefix of the path.",
    action="Check host and path; `mothshunt routing show` shows all routes.",
)
TARGET_MISDIRECTED = ResultCode(
    number=2803,
    name="target_misdirected",
    http_status=503,
    summary="Another target responded at the address of the chosen one.",
    action="Retry after the time in `Retry-After`; the target has been replaced.",
)
ANSWER_UNPROVEN = ResultCode(
    number=2804,
    name="answer_unproven",
    http_status=502,
    summary="A response lacks the proof that the target made it for this request.",
    action="Repeat the request if it is idempotent; check the target.",
)
ERROR_ANSWERED = ResultCode(
    number=2805,
    name="target_answered_error",
    http_status=502,
    summary="A target answered an idempotent request with a server error (5xx).",
    action="Repeat the request; check the target if this happens often.",
)
PAUSE_UNREADABLE = ResultCode(
    number=2806,
    name="target_pause_unreadable",
    http_status=502,
    summary="A target sent a `Retry-After` header that can't be parsed.",
    action="Have the target send a number of seconds; it was not paused.",
)
RATE_LIMIT_UNREADABLE = ResultCode(
    number=2807,
    name="target_rate_limit_unreadable",
    http_status=502,
    summary="A target sent a rate limit that can't be parsed.",
    action="Have the target send a decimal number; its last limit remains in force.",
)
