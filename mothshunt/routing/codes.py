"""Result codes of the routing slice."""

from mothshunt.core.codes import ResultCode

INVALID_ITEM = ResultCode(
    number=2701,
    name="routing_item_invalid",
    http_status=400,
    summary="A routing item has a missing or invalid value.",
    action="Correct the item that the path names, then send the whole call again.",
)
UNKNOWN_SERVICE = ResultCode(
    number=2702,
    name="route_of_unknown_service",
    http_status=400,
    summary="A route names a service that does not exist.",
    action="Add the service first, or in the same call.",
)
PLACE_TAKEN = ResultCode(
    number=2703,
    name="route_place_taken",
    http_status=400,
    summary="Two routes have the same host and path prefix.",
    action="Drop the other route first, or in the same call.",
)
NOT_COMMITTED = ResultCode(
    number=2704,
    name="routing_not_committed",
    http_status=503,
    summary="No majority committed the call within the time limit.",
    action="Send the same call again, to any control instance.",
)
TOO_LARGE = ResultCode(
    number=2705,
    name="routing_call_too_large",
    http_status=413,
    summary="The call is larger than one log entry may be.",
    action="Send the items in several calls.",
)
SUPERSEDED = ResultCode(
    number=2706,
    name="evacuation_superseded",
    http_status=503,
    summary="Another call changed the availability zone in the meantime.",
    action="Send the call again if it is still wanted.",
)
KEY_TAKEN = ResultCode(
    number=2708,
    name="workspace_key_taken",
    http_status=400,
    summary="Two workspaces have the same key.",
    action="Take the key from the other workspace first, or in the same call.",
)
UNKNOWN_ZONE = ResultCode(
    number=2707,
    name="availability_zone_unknown",
    http_status=404,
    summary="The deployment has no such availability zone.",
    action="Check the name of the availability zone.",
)
