"""Targets as the other slices see them."""

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
    """Hold what a target last said of its own load.

    :param in_flight: Requests that the target was running.
    :param connections: Connections that the target held.
    :param measured_at: Monotonic time of this instance at which the report was
        made, its age on the way already taken off, in seconds.
    """

    in_flight: int
    connections: int
    measured_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """Describe one target that announced itself.

    :param id: Unique name of the target.
    :param incarnation: Grows each time the target starts again.
    :param customer: Customer that the target serves.
    :param service: Service that the target serves.
    :param host: IP number.
    :param port: TCP port.
    :param region: Region that the target runs in.
    :param availability_zone: Availability zone that the target runs in.
    :param slots: Requests that the target can run at a time.
    :param state: What the target announced of itself.
    :param first_seen_at: Monotonic time at which this incarnation was first
        heard of, in seconds.
    :param report: Last load report, or ``None`` when there is none.
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
    """Give the targets that are known now."""

    def targets(self, customer: CustomerId, service: ServiceName) -> Sequence[Target]:
        """Return the live targets of a service, leaving ones included.

        The same sequence object is returned until something in it changes.
        """
        ...
