"""Records of instances that other packages use."""

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
    """Instance as recorded in the replicated configuration.

    :param id: Unique name of the instance.
    :param region: Region that the instance runs in.
    :param availability_zone: Availability zone that the instance runs in.
    :param roles: Roles of the instance.
    :param traffic_host: IP address for callers; empty without the role ``entry``.
    :param traffic_port: TCP port for callers; 0 without the role ``entry``.
    :param admin_host: IP address of the administration API.
    :param admin_port: TCP port of the administration API.
    :param peer_host: IP address of its peer streams.
    :param peer_port: TCP port of its peer streams.
    :param seat: Number of the instance among those of its region, from 0; a
        seat is assigned again only after its holder has left.
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
    """Entry instance that a look-up may list.

    :param record: The instance.
    :param incarnation: Number that increases each time the instance restarts.
    :param state: State that the instance last reported.
    :param load: Requests in flight at the instance as last reported.
    """

    record: InstanceRecord
    incarnation: Incarnation
    state: InstanceState
    load: int


class EntryDirectory(Protocol):
    """Source of the entry instances that are reachable now."""

    def entries(self) -> Sequence[EntryPresence]:
        """Return the reachable entry instances, sorted by id.

        The same sequence object is returned as long as nothing in it changes.
        """
        ...
