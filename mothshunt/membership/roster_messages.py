"""Messages between entry and control instances about entry instances."""

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
from mothshunt.placement.admission_counts import ServiceCounts
from mothshunt.util.hashing import hash_text
from mothshunt.util.wire import message

#: Service, and its request rate in each availability zone, in units of
#: 1 / DEMAND_UNITS_PER_RPS requests a second.
DemandRow = tuple[ServiceName, tuple[tuple[AvailabilityZoneId, int], ...]]
#: Units of a demand for each request a second.
DEMAND_UNITS_PER_RPS = 10
DemandByZone = dict[ServiceName, dict[AvailabilityZoneId, float]]


class EntryRow(NamedTuple):
    """Address and readiness of an entry instance, as sent to other instances.

    A tuple, because it takes few bytes in messages.

    :param instance: Name of the entry instance.
    :param region: Region that it runs in.
    :param availability_zone: Availability zone that it runs in.
    :param host: IP address for callers.
    :param port: TCP port for callers.
    :param is_ready: Whether it accepts requests.
    """

    instance: InstanceId
    region: RegionId
    availability_zone: AvailabilityZoneId
    host: str
    port: int
    is_ready: bool


class ReadyEntry(NamedTuple):
    """Entry instance that accepts requests; sorted by its name.

    :param row: The entry instance.
    :param ready_since: Time from which it is known to accept requests, in seconds.
    """

    row: EntryRow
    ready_since: float


@message("membership.entry_report")
@dataclass(frozen=True, kw_only=True, slots=True)
class EntryReport:
    """Address and state of an entry instance, sent to a control instance.

    :param instance: Name of the entry instance.
    :param region: Region that it runs in.
    :param availability_zone: Availability zone that it runs in.
    :param host: IP address for callers.
    :param port: TCP port for callers.
    :param state: State of the instance.
    :param is_primary: Whether the receiver is a primary, which sends it each change at
        once.
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
        """Row of this instance for other entry instances."""
        return EntryRow(
            instance=self.instance,
            region=self.region,
            availability_zone=self.availability_zone,
            host=self.host,
            port=self.port,
            is_ready=self.state is InstanceState.READY,
        )


@message("membership.entry_load", omit_if_empty=("counts",))
@dataclass(frozen=True, kw_only=True, slots=True)
class EntryLoad:
    """Load of an entry instance, sent to a control instance.

    :param revision: Revision of the configuration in force there.
    :param in_flight: Requests in flight there.
    :param demand: Services and their request rates, in requests a second.
    :param counts: Counts since the last report that admission is decided from; empty
        where admission is not controlled.
    """

    revision: int = 0
    in_flight: int = 0
    demand: tuple[tuple[ServiceName, float], ...] = ()
    counts: tuple[ServiceCounts, ...] = ()


@message("membership.control_address")
@dataclass(frozen=True, kw_only=True, slots=True)
class ControlAddress:
    """Name and address of a control instance.

    :param id: Name of the instance.
    :param host: IP address of its peer streams.
    :param port: TCP port of its peer streams.
    """

    id: InstanceId
    host: str
    port: int


@message("membership.control_list")
@dataclass(frozen=True, kw_only=True, slots=True)
class ControlList:
    """Control instances of the deployment, sent to an entry instance.

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
    """Entry instances attached to a control instance.

    :param rows: Instances that are attached; all of them, or those that changed.
    :param gone: Names of those that are attached no more.
    :param is_whole: Whether the rows are all that are attached.
    """

    rows: tuple[EntryRow, ...]
    gone: tuple[InstanceId, ...] = ()
    is_whole: bool = False


@message("membership.roster_request")
@dataclass(frozen=True, kw_only=True, slots=True)
class RosterRequest:
    """Request for all entry instances attached to a control instance."""


@message("membership.roster_pulse", omit_if_empty=("counts",))
@dataclass(frozen=True, kw_only=True, slots=True)
class RosterPulse:
    """Confirmation of the entry instances attached to a control instance.

    :param digest: Digest of all their rows.
    :param demand: Sum of their request rates; empty if the sender is not a primary of
        the receiver.
    :param counts: Sums of the counts of the entry instances, by service; empty where
        ``demand`` is, and where admission is not controlled.
    """

    digest: int
    demand: tuple[DemandRow, ...] = ()
    counts: tuple[ServiceCounts, ...] = ()


def roster_digest(rows: Iterable[EntryRow]) -> int:
    """Return a digest of the rows of entry instances, independent of their order.

    :param rows: The rows.
    """
    digest = 0
    for row in rows:
        digest ^= hash_text(f"{row.instance} {row.availability_zone} {row.is_ready}")
    return digest
