"""Result codes of isolation."""

from mothshunt.core.codes import ResultCode

ENTRY_ISOLATED = ResultCode(
    number=3301,
    name="entry_isolated",
    http_status=503,
    summary="The entry instance reaches no target, and no other one took the request.",
    action="Use another entry instance, or retry after the time in `Retry-After`.",
)
RELAY_BROKEN = ResultCode(
    number=3302,
    name="relay_broken",
    http_status=502,
    summary="The connection to another entry instance broke during a relayed request.",
    action="Repeat the request if it is idempotent; its outcome is unknown.",
)
RELAY_UNREACHABLE = ResultCode(
    number=3303,
    name="relay_unreachable",
    http_status=503,
    summary="No connection to another entry instance could be opened for a relay.",
    action="Retry after the time in `Retry-After`; check the entry instances.",
)
