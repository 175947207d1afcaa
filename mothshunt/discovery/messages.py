"""Announcements of targets, and the messages that distribute them."""

import ipaddress
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

from pydantic import AfterValidator, ConfigDict, Field

from mothshunt.core.const import ID_PATTERN
from mothshunt.core.types import (
    AvailabilityZoneId,
    CustomerId,
    Incarnation,
    InstanceId,
    RegionId,
    ServiceName,
    TargetId,
    TargetState,
)
from mothshunt.util.wire import message

_STRICT = ConfigDict(extra="forbid")


def _validate_ip_address(host: str) -> str:
    ipaddress.ip_address(host)
    return host


@dataclass(frozen=True, kw_only=True, slots=True)
class AnnouncedLoad:
    """Load that a target reports of itself.

    :param in_flight: Requests that it is running.
    :param connections: Open connections that it has.
    :param age_ms: Milliseconds since the load had these values.
    """

    __pydantic_config__ = _STRICT

    in_flight: Annotated[int, Field(ge=0)]
    connections: Annotated[int, Field(ge=0)] = 0
    age_ms: Annotated[int, Field(ge=0)] = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Announcement:
    """Request body with which a target announces itself and renews.

    :param target: Unique name of the target.
    :param incarnation: Number that grows each time the target restarts.
    :param customer: Customer that it serves.
    :param service: Service that it serves.
    :param host: IP address.
    :param port: TCP port.
    :param region: Region that it runs in.
    :param availability_zone: Availability zone that it runs in.
    :param slots: Requests that it can run at the same time.
    :param state: ``serving`` or ``leaving``.
    :param load: Load that it reports; ``None`` if it reports none.
    """

    __pydantic_config__ = _STRICT

    target: Annotated[TargetId, Field(pattern=ID_PATTERN)]
    incarnation: Annotated[Incarnation, Field(ge=0, lt=2**63)]
    customer: Annotated[CustomerId, Field(pattern=ID_PATTERN)]
    service: Annotated[ServiceName, Field(pattern=ID_PATTERN)]
    host: Annotated[str, AfterValidator(_validate_ip_address)]
    port: Annotated[int, Field(ge=1, le=65535)]
    region: Annotated[RegionId, Field(pattern=ID_PATTERN)]
    availability_zone: Annotated[AvailabilityZoneId, Field(pattern=ID_PATTERN)]
    slots: Annotated[int, Field(ge=1, le=100_000)]
    state: TargetState = TargetState.SERVING
    load: AnnouncedLoad | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaveNotice:
    """Request body with which a target reports that it has left.

    :param target: Name of the target.
    :param incarnation: Incarnation that left.
    """

    __pydantic_config__ = _STRICT

    target: Annotated[TargetId, Field(pattern=ID_PATTERN)]
    incarnation: Annotated[Incarnation, Field(ge=0, lt=2**63)]


class RowState(Enum):
    """State of a target in a row."""

    SERVING = "serving"
    LEAVING = "leaving"
    LEFT = "left"
    #: The owner of the row has received no announcement for the lease time.
    LAPSED = "lapsed"


@message("discovery.row")
@dataclass(frozen=True, kw_only=True, slots=True)
class TargetRow:
    """State and properties of one target, as instances send them to each other.

    :param owner: Entry instance to which the target announced itself.
    :param state: State of the target.
    :param announcement: Last announcement; its load is not used.
    """

    owner: InstanceId
    state: RowState
    announcement: Announcement


@message("discovery.load")
@dataclass(frozen=True, kw_only=True, slots=True)
class LoadRow:
    """Load of one target, as instances send it to each other.

    :param target: Name of the target.
    :param incarnation: Incarnation that reported it.
    :param load: The load, with its age at the time of sending.
    """

    target: TargetId
    incarnation: Incarnation
    load: AnnouncedLoad


@message("discovery.rows")
@dataclass(frozen=True, kw_only=True, slots=True)
class TargetRows:
    """Message with targets and loads.

    :param rows: Targets that changed, or all that the sender owns or knows.
    :param loads: Loads that changed.
    """

    rows: tuple[TargetRow, ...] = ()
    loads: tuple[LoadRow, ...] = ()
