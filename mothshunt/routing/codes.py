"""Result codes of the routing slice."""

from mothshunt.core.codes import ResultCode

INVALID_ITEM = ResultCode(
    number=2701,
    name="routing_item_invalid",
    http_status=400,
    summary="A routing item does not hold what it must.",
    action="Correct the item that the path names and send the whole call again.",
)
UNKNOWN_SERVICE = ResultCode(
    number=2702,
    name="route_of_unknown_service",
    http_status=400,
    summary="A route names a service that does not exist.",
    action="Add the service first, or with the same call.",
)
SAME_PLACE = ResultCode(
    number=2703,
    name="route_place_taken",
    http_status=400,
    summary="Two routes have the same host and path prefix.",
    action="Remove the other route first, or with the same call.",
)
NOT_COMMITTED = ResultCode(
    number=2704,
    name="routing_not_committed",
    http_status=503,
    summary="The call could not be committed by a majority in time.",
    action="Send the same call again, to any control instance.",
)
TOO_LARGE = ResultCode(
    number=2705,
    name="routing_call_too_large",
    http_status=413,
    summary="The call holds more than one log entry may.",
    action="Send the items in several calls.",
)
SUPERSEDED = ResultCode(
    number=2706,
    name="evacuation_superseded",
    http_status=503,
    summary="The availability zone was changed by another call meanwhile.",
    action="Send the call again if it still stands.",
)
UNKNOWN_ZONE = ResultCode(
    number=2707,
    name="availability_zone_unknown",
    http_status=404,
    summary="The deployment has no such availability zone.",
    action="Check the name of the availability zone.",
)
