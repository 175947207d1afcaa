"""Measurement of the request rate that callers send to one entry instance."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from mothshunt.core.types import ServiceName
from mothshunt.placement import const

#: Smoothed rates below this are dropped, in requests a second.
NEGLIGIBLE_PER_S = 0.01


@dataclass(slots=True)
class DemandMeter:
    """Smoothed request rate of each service."""

    _count_by_service: dict[ServiceName, int] = field(default_factory=dict)
    _per_s_by_service: dict[ServiceName, float] = field(default_factory=dict)

    def count(self, service: ServiceName) -> None:
        """Count one request.

        :param service: The requested service.
        """
        self._count_by_service[service] = self._count_by_service.get(service, 0) + 1

    def measure(self, interval_s: float) -> Mapping[ServiceName, float]:
        """Return the smoothed requests a second by service; called each interval.

        :param interval_s: Time since the last call, in seconds.
        """
        counts, self._count_by_service = self._count_by_service, {}
        for service in {*counts, *self._per_s_by_service}:
            per_s = counts.get(service, 0) / interval_s
            held = self._per_s_by_service.get(service, per_s)
            smoothed = held + const.DEMAND_WEIGHT * (per_s - held)
            if smoothed < NEGLIGIBLE_PER_S:
                self._per_s_by_service.pop(service, None)
            else:
                self._per_s_by_service[service] = smoothed
        return self._per_s_by_service
