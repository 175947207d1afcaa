"""Targets as other slices use them."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from mothshunt.core.types import (
    AvailabilityZoneId,
    CustomerId,
    Incarnation,
    RegionId,
    ServiceName,
    TargetId,
    TargetState,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Last load that a target reported of itself.

    :param in_flight: Requests that the target was running.
    :param connections: Connections that the target held.
    :param measured_at: Monotonic time of this instance at which the report was made, in
        seconds; the time in transit is already subtracted.
    """

    in_flight: int
    connections: int
    measured_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """Target that announced itself.

    :param id: Unique name of the target.
    :param incarnation: Number that grows each time the target restarts.
    :param customer: Customer that the target serves.
    :param service: Service that the target serves.
    :param host: IP address.
    :param port: TCP port.
    :param region: Region that the target runs in.
    :param availability_zone: Availability zone that the target runs in.
    :param slots: Requests that the target can run at the same time.
    :param state: State that the target announced.
    :param first_seen_at: Monotonic time at which this instance first learned of this
        incarnation, in seconds.
    :param report: Last load report, or ``None`` if there is none.
    """

    id: TargetId
    incarnation: Incarnation
    customer: CustomerId
    service: ServiceName
    host: str
    port: int
    region: RegionId
    availability_zone: AvailabilityZoneId
    slots: int
    state: TargetState
    first_seen_at: float
    report: LoadReport | None = None


class TargetDirectory(Protocol):
    """Directory of the targets that are currently known."""

    def targets(self, customer: CustomerId, service: ServiceName) -> Sequence[Target]:
        """Return the live targets of a service, leaving ones included.

        The same sequence object is returned until something in it changes.
        """
        ...
