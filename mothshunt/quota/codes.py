"""Result codes of the quotas of workspaces."""

from mothshunt.core.codes import ResultCode

OVER_QUOTA = ResultCode(
    number=3401,
    name="quota_exceeded",
    http_status=429,
    summary="The workspace has used up its quota of requests.",
    action="Retry after the time in `Retry-After`, or ask for a higher quota.",
)
NO_CONTROL = ResultCode(
    number=3402,
    name="quota_no_control",
    http_status=503,
    summary="No control instance answered, so the quota can't be kept.",
    action="Use another entry instance, or retry after the time in `Retry-After`.",
)
NOT_ISSUED = ResultCode(
    number=3403,
    name="quota_not_issued",
    http_status=503,
    summary="The control instances don't know the quota, or can't issue for it yet.",
    action="Retry after the time in `Retry-After`; check the control instances.",
)
