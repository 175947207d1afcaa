"""Result codes of the placement slice."""

from mothshunt.core.codes import ResultCode

NO_TARGETS = ResultCode(
    number=2901,
    name="service_without_targets",
    http_status=503,
    summary="The service has no target that can take the request at present.",
    action="Retry after the given time; check the targets of the service.",
)
TARGETS_PAUSED = ResultCode(
    number=2903,
    name="targets_paused",
    http_status=503,
    summary="All targets of the service have asked for a pause.",
    action="Retry after the given time; check the load of the service.",
)
TARGETS_AT_LIMIT = ResultCode(
    number=2904,
    name="targets_at_rate_limit",
    http_status=503,
    summary="The rate limits of the targets allow no more requests at present.",
    action="Retry after the given time; check the load of the service.",
)
NO_CAPACITY = ResultCode(
    number=2902,
    name="targets_without_room",
    http_status=503,
    summary="All targets of the service are too busy to respond in time.",
    action="Retry after the given time.",
)
NOT_ADMITTED = ResultCode(
    number=2905,
    name="service_over_capacity",
    http_status=503,
    summary="The service is short of capacity and admits a part of such requests only.",
    action="Retry after the given time; add targets if the service is short for long.",
)
OVER_FAIR_SHARE = ResultCode(
    number=2906,
    name="workspace_over_fair_share",
    http_status=503,
    summary="The service is short of capacity and the workspace has used its share.",
    action="Retry after the given time, or send fewer requests.",
)
