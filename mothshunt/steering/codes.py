"""Result codes of the selection of a target."""

from mothshunt.core.codes import ResultCode

UNKNOWN_SERVICE = ResultCode(
    number=2201,
    name="steering_unknown_service",
    http_status=404,
    summary="The customer's contract does not name this service.",
    action="Check the customer and the service in the path.",
)
NO_TARGET = ResultCode(
    number=2202,
    name="no_target",
    http_status=503,
    summary="No target of the service accepts new requests.",
    action="Check that targets announce themselves and are not all drained.",
)
TARGETS_BUSY = ResultCode(
    number=2203,
    name="targets_busy",
    http_status=503,
    summary="Every target of the service is at its limit or sheds load.",
    action="Retry after the time given; add targets if this persists.",
)
TARGETS_FAILING = ResultCode(
    number=2204,
    name="targets_failing",
    http_status=503,
    summary="Recent requests to every target of the service failed.",
    action="Retry after the time given; check the targets.",
)
TOO_MANY_WAITING = ResultCode(
    number=2205,
    name="too_many_waiting",
    http_status=503,
    summary="The queue of requests that wait for capacity at this instance is full.",
    action="Retry after the time given.",
)
