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
KEY_MISSING = ResultCode(
    number=2808,
    name="workspace_key_missing",
    http_status=401,
    summary="The request carries no key of a workspace.",
    action="Send the key as `Authorization: Bearer KEY`.",
)
KEY_UNKNOWN = ResultCode(
    number=2809,
    name="workspace_key_unknown",
    http_status=401,
    summary="No workspace has the key of the request.",
    action="Check the key; `mothshunt routing show` shows the keys' digests.",
)
KEY_UNCONFIRMED = ResultCode(
    number=2810,
    name="workspace_key_unconfirmed",
    http_status=503,
    summary="The key is unknown here, and the configuration may be out of date.",
    action="Use another entry instance, or retry after the time in `Retry-After`.",
)
NO_COMMON_REGION = ResultCode(
    number=2811,
    name="regions_without_common",
    http_status=503,
    summary="Workspace and route have no home region in common.",
    action="Correct the home regions of the workspace or of the route.",
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
