"""Announcements of targets, and how instances tell each other of them."""

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


def _ip_number(host: str) -> str:
    ipaddress.ip_address(host)
    return host


@dataclass(frozen=True, kw_only=True, slots=True)
class AnnouncedLoad:
    """Hold the load that a target reports of itself.

    :param in_flight: Requests that it runs.
    :param connections: Connections that it holds.
    :param age_ms: Milliseconds since this was measured.
    """

    __pydantic_config__ = _STRICT

    in_flight: Annotated[int, Field(ge=0)]
    connections: Annotated[int, Field(ge=0)] = 0
    age_ms: Annotated[int, Field(ge=0)] = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Announcement:
    """Hold what a target sends to announce itself and to renew.

    :param target: Unique name of the target.
    :param incarnation: Grows each time the target starts again.
    :param customer: Customer that it serves.
    :param service: Service that it serves.
    :param host: IP number.
    :param port: TCP port.
    :param region: Region that it runs in.
    :param availability_zone: Availability zone that it runs in.
    :param slots: Requests that it can run at a time.
    :param state: ``serving`` or ``leaving``.
    :param load: Load that it reports, if it does.
    """

    __pydantic_config__ = _STRICT

    target: Annotated[TargetId, Field(pattern=ID_PATTERN)]
    incarnation: Annotated[Incarnation, Field(ge=0, lt=2**63)]
    customer: Annotated[CustomerId, Field(pattern=ID_PATTERN)]
    service: Annotated[ServiceName, Field(pattern=ID_PATTERN)]
    host: Annotated[str, AfterValidator(_ip_number)]
    port: Annotated[int, Field(ge=1, le=65535)]
    region: Annotated[RegionId, Field(pattern=ID_PATTERN)]
    availability_zone: Annotated[AvailabilityZoneId, Field(pattern=ID_PATTERN)]
    slots: Annotated[int, Field(ge=1, le=100_000)]
    state: TargetState = TargetState.SERVING
    load: AnnouncedLoad | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaveNotice:
    """Hold what a target sends when it has left.

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
    #: The owner of the row hears no renewals any more.
    LAPSED = "lapsed"


@message("discovery.row")
@dataclass(frozen=True, kw_only=True, slots=True)
class TargetRow:
    """Tell of one target.

    :param owner: Entry instance that the target announced itself to.
    :param state: State of the target.
    :param announcement: Last announcement; its load is not used.
    """

    owner: InstanceId
    state: RowState
    announcement: Announcement


@message("discovery.load")
@dataclass(frozen=True, kw_only=True, slots=True)
class LoadRow:
    """Tell of the load of one target.

    :param target: Name of the target.
    :param incarnation: Incarnation that reported it.
    :param load: The load, its age at the time of sending.
    """

    target: TargetId
    incarnation: Incarnation
    load: AnnouncedLoad


@message("discovery.rows")
@dataclass(frozen=True, kw_only=True, slots=True)
class TargetRows:
    """Tell of targets.

    :param rows: Targets that changed, or all that the sender owns or holds.
    :param loads: Loads that changed.
    """

    rows: tuple[TargetRow, ...] = ()
    loads: tuple[LoadRow, ...] = ()
