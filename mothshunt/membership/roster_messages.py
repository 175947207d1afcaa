"""What entry and control instances tell each other of entry instances."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from mothshunt.core.types import (
    AvailabilityZoneId,
    InstanceId,
    InstanceState,
    RegionId,
    ServiceName,
)
from mothshunt.util.hashing import hash_text
from mothshunt.util.wire import message

#: Service, and what callers ask for in each availability zone, in tenths of a request
#: a second.
DemandRow = tuple[ServiceName, tuple[tuple[AvailabilityZoneId, int], ...]]
#: Units of a demand that make one request a second.
DEMAND_UNITS = 10
DemandByZone = dict[ServiceName, dict[AvailabilityZoneId, float]]


class EntryRow(NamedTuple):
    """Hold what is told of an entry instance; a tuple takes few bytes in messages.

    :param instance: Name of the entry instance.
    :param region: Region that it runs in.
    :param availability_zone: Availability zone that it runs in.
    :param host: IP number for callers.
    :param port: TCP port for callers.
    :param is_ready: Whether it takes requests.
    """

    instance: InstanceId
    region: RegionId
    availability_zone: AvailabilityZoneId
    host: str
    port: int
    is_ready: bool


class ReadyEntry(NamedTuple):
    """Hold an entry instance that takes requests; sorted by its name.

    :param row: The entry instance.
    :param ready_since: Time from which it is known to take requests, in seconds.
    """

    row: EntryRow
    ready_since: float


@message("membership.entry_report")
@dataclass(frozen=True, kw_only=True, slots=True)
class EntryReport:
    """Tell a control instance who an entry instance is and how it stands.

    :param instance: Name of the entry instance.
    :param region: Region that it runs in.
    :param availability_zone: Availability zone that it runs in.
    :param host: IP number for callers.
    :param port: TCP port for callers.
    :param state: State of the instance.
    :param is_primary: Whether the receiver is one of those that are to tell it of each
        change at once.
    """

    instance: InstanceId
    region: RegionId
    availability_zone: AvailabilityZoneId
    host: str
    port: int
    state: InstanceState
    is_primary: bool = False

    @property
    def row(self) -> EntryRow:
        """What other entry instances are told of this one."""
        return EntryRow(
            instance=self.instance,
            region=self.region,
            availability_zone=self.availability_zone,
            host=self.host,
            port=self.port,
            is_ready=self.state is InstanceState.READY,
        )


@message("membership.entry_load")
@dataclass(frozen=True, kw_only=True, slots=True)
class EntryLoad:
    """Tell a control instance what an entry instance has to do.

    :param revision: Revision of the configuration in force there.
    :param in_flight: Requests that are being answered there.
    :param demand: Services, and requests a second that callers ask for.
    """

    revision: int = 0
    in_flight: int = 0
    demand: tuple[tuple[ServiceName, float], ...] = ()


@message("membership.control_address")
@dataclass(frozen=True, kw_only=True, slots=True)
class ControlAddress:
    """Name a control instance.

    :param id: Name of the instance.
    :param host: IP number of its peer streams.
    :param port: TCP port of its peer streams.
    """

    id: InstanceId
    host: str
    port: int


@message("membership.control_list")
@dataclass(frozen=True, kw_only=True, slots=True)
class ControlList:
    """Tell an entry instance of the control instances.

    :param region: Region of the sender.
    :param availability_zone: Availability zone of the sender.
    :param control: All control instances, the sender included.
    """

    region: RegionId
    availability_zone: AvailabilityZoneId
    control: tuple[ControlAddress, ...]


@message("membership.roster_rows")
@dataclass(frozen=True, kw_only=True, slots=True)
class RosterRows:
    """Tell of entry instances that are attached to a control instance.

    :param rows: Instances that are attached.
    :param gone: Names of those that are no more.
    :param is_whole: Whether the rows are all that are attached.
    """

    rows: tuple[EntryRow, ...]
    gone: tuple[InstanceId, ...] = ()
    is_whole: bool = False


@message("membership.roster_request")
@dataclass(frozen=True, kw_only=True, slots=True)
class RosterRequest:
    """Ask a control instance for all entry instances that are attached to it."""


@message("membership.roster_pulse")
@dataclass(frozen=True, kw_only=True, slots=True)
class RosterPulse:
    """Tell that the entry instances attached to a control instance are still the same.

    :param digest: Digest of all of them.
    :param demand: What callers ask all of them for; empty where that is told less
        often.
    """

    digest: int
    demand: tuple[DemandRow, ...] = ()


def roster_digest(rows: Iterable[EntryRow]) -> int:
    """Return a digest of entry instances that doesn't depend on their order.

    :param rows: The instances.
    """
    digest = 0
    for row in rows:
        digest ^= hash_text(f"{row.instance} {row.availability_zone} {row.is_ready}")
    return digest
