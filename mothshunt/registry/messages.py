"""Renewals of targets, and the messages that distribute them."""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated

from pydantic import Field

from mothshunt.core.types import (
    AvailabilityZoneId,
    Incarnation,
    RegionId,
    ServiceName,
    TargetId,
)
from mothshunt.util.wire import message


class RenewalState(Enum):
    """State that a target reports of itself."""

    SERVING = "serving"
    LEAVING = "leaving"


@message("registry.renewal")
@dataclass(frozen=True, kw_only=True, slots=True)
class Renewal:
    """Periodic report of a target on its address and its state.

    :param target: Unique name of the target.
    :param incarnation: Number that grows each time the target restarts.
    :param sequence: Number that grows with each renewal of an incarnation.
    :param service: Service that it serves.
    :param host: IP address.
    :param port: TCP port.
    :param region: Region that it runs in.
    :param availability_zone: Availability zone that it runs in.
    :param release: Version of its software.
    :param slots: Requests that it can run at the same time.
    :param state: Whether it is serving or leaving.
    :param cold_ms: Milliseconds for which it stays cold after this renewal.
    """

    target: TargetId
    incarnation: Annotated[Incarnation, Field(ge=0, lt=2**63)]
    sequence: Annotated[int, Field(ge=0, lt=2**63)]
    service: ServiceName
    host: str
    port: Annotated[int, Field(ge=1, le=65535)]
    region: RegionId
    availability_zone: AvailabilityZoneId
    release: str = ""
    slots: Annotated[int, Field(ge=1, le=100_000)] = 1
    state: RenewalState = RenewalState.SERVING
    cold_ms: Annotated[int, Field(ge=0, le=3_600_000)] = 0


#: Renewal of a target as instances send it to each other: name, incarnation, sequence,
#: service, host, port, region, availability zone, release, slots, state, milliseconds
#: for which it stays cold, and milliseconds since a control instance received it.
RegistryRow = tuple[
    TargetId,
    Incarnation,
    int,
    ServiceName,
    str,
    int,
    RegionId,
    AvailabilityZoneId,
    str,
    int,
    RenewalState,
    int,
    int,
]


@message("registry.rows")
@dataclass(frozen=True, kw_only=True, slots=True)
class RegistryRows:
    """Message with the newest renewals of some or all targets.

    :param rows: The renewals.
    :param is_settled: Whether the sender knows enough targets to route by them: it has
        received renewals for long enough, or has the targets of a settled instance.
    """

    rows: tuple[RegistryRow, ...]
    is_settled: bool = False


@message("registry.request")
@dataclass(frozen=True, kw_only=True, slots=True)
class RegistryRequest:
    """Request to a control instance for all targets that it knows."""


@message("registry.pulse")
@dataclass(frozen=True, kw_only=True, slots=True)
class RegistryPulse:
    """Periodic message with the age of each target's newest renewal, one byte each.

    A receiver that knows the same targets matches the ages to them by their order.

    :param digest: Digest of the targets and their incarnations, without those whose
        age does not fit into a byte.
    :param unit_ms: Unit of an age, in milliseconds.
    :param ages: Age of the newest renewal of each of these targets, in that unit and
        in the order of their names.
    :param is_settled: Whether the sender is settled; see ``RegistryRows``.
    """

    digest: int
    unit_ms: Annotated[int, Field(ge=1)]
    ages: bytes
    is_settled: bool = False


@message("registry.leaving_seen")
@dataclass(frozen=True, kw_only=True, slots=True)
class LeavingSeen:
    """Report of an entry instance that a target announced its leave in a response.

    :param target: The target.
    :param incarnation: Incarnation that the entry instance knows.
    """

    target: TargetId
    incarnation: Annotated[Incarnation, Field(ge=0, lt=2**63)]
