"""Instances as the other slices see them."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from mothshunt.core.types import (
    AvailabilityZoneId,
    Incarnation,
    InstanceId,
    InstanceState,
    RegionId,
    Role,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceRecord:
    """Describe an instance as the replicated configuration holds it.

    :param id: Unique name of the instance.
    :param region: Region that the instance runs in.
    :param availability_zone: Availability zone that the instance runs in.
    :param roles: Duties of the instance.
    :param traffic_host: IP number for callers; empty without the role ``entry``.
    :param traffic_port: TCP port for callers; 0 without the role ``entry``.
    :param admin_host: IP number of the administration API.
    :param admin_port: TCP port of the administration API.
    :param peer_host: IP number of its peer streams.
    :param peer_port: TCP port of its peer streams.
    :param seat: Number of the instance among those of its region, from 0; a
        seat is given again only after its holder has left.
    """

    id: InstanceId
    region: RegionId
    availability_zone: AvailabilityZoneId
    roles: tuple[Role, ...]
    traffic_host: str
    traffic_port: int
    admin_host: str
    admin_port: int
    peer_host: str
    peer_port: int
    seat: int


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryPresence:
    """Describe an entry instance that look-ups may name.

    :param record: The instance.
    :param incarnation: Grows each time the instance starts again.
    :param state: What the instance last reported of itself.
    :param load: Requests in flight at the instance as last reported.
    """

    record: InstanceRecord
    incarnation: Incarnation
    state: InstanceState
    load: int


class EntryDirectory(Protocol):
    """Give the entry instances that are reachable now."""

    def entries(self) -> Sequence[EntryPresence]:
        """Return the reachable entry instances, sorted by id.

        The same sequence object is returned until something in it changes.
        """
        ...
