"""Result codes of the limits slice."""

from mothshunt.core.codes import ResultCode
from mothshunt.limits.model import LimitKind

REGION_FULL = ResultCode(
    number=2301,
    name="region_capacity_reached",
    http_status=503,
    summary="This instance has no free share of the region's capacity.",
    action="Retry after the time given; raise the capacity if this persists.",
)
LINK_FULL = ResultCode(
    number=2302,
    name="link_limit_reached",
    http_status=503,
    summary="This instance has no free share of the limit on a link between regions.",
    action="Retry after the time given; raise the link limit if this persists.",
)
SHIFT_FULL = ResultCode(
    number=2303,
    name="shift_cap_reached",
    http_status=503,
    summary="This instance has no free share of the contract's shift cap.",
    action="Retry after the time given; raise the cap or its step if this persists.",
)
RESERVED = ResultCode(
    number=2304,
    name="room_kept_for_commitments",
    http_status=503,
    summary="The remaining share is reserved for requests that are not idempotent.",
    action="Retry after the time given.",
)
NOT_LEADER = ResultCode(
    number=2310,
    name="limits_not_leader",
    http_status=503,
    summary="The control instance that received the renewal is not the leader.",
    action="None; the instance sends another renewal.",
)
STALE_RENEWAL = ResultCode(
    number=2311,
    name="limits_stale_renewal",
    http_status=409,
    summary="A renewal arrived after a later one from the same instance.",
    action="None; the later renewal applies.",
)
LEADER_BEHIND = ResultCode(
    number=2312,
    name="limits_leader_behind",
    http_status=503,
    summary="The leader has not yet applied the configuration that the holder uses.",
    action="None; the instance sends another renewal.",
)
UNKNOWN_HOLDER = ResultCode(
    number=2313,
    name="limits_unknown_holder",
    http_status=403,
    summary="The instance that requests shares is not registered as an entry instance.",
    action="Check that the instance has joined the deployment.",
)

FULL_BY_KIND = {
    LimitKind.REGION: REGION_FULL,
    LimitKind.LINK: LINK_FULL,
    LimitKind.SHIFT: SHIFT_FULL,
}
