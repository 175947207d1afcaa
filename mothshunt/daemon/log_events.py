"""Log lines of the daemon slice: one dataclass for each kind."""

from collections.abc import Mapping
from dataclasses import dataclass

from mothshunt.core.types import (
    InstanceId,
)
from mothshunt.helpers.log import Level, log_event


@log_event("starting", slice_name="daemon")
@dataclass(frozen=True, kw_only=True, slots=True)
class Starting:
    """Start of the process.

    :param roles: Roles of the instance.
    """

    roles: tuple[str, ...]


@log_event("ready", slice_name="daemon")
@dataclass(frozen=True, kw_only=True, slots=True)
class Ready:
    """End of the start: the instance takes requests from now on.

    :param revision: Revision of the configuration in force.
    :param targets: Number of targets that the instance knows.
    """

    revision: int
    targets: int


@log_event("leaving", slice_name="daemon")
@dataclass(frozen=True, kw_only=True, slots=True)
class Leaving:
    """Beginning of an orderly stop: the instance completes the requests in flight.

    :param in_flight: Requests in flight.
    """

    in_flight: int


@log_event("stopped", slice_name="daemon")
@dataclass(frozen=True, kw_only=True, slots=True)
class Stopped:
    """End of the process."""


@log_event("settings reloaded", slice_name="daemon")
@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsReloaded:
    """Reload of changed settings, which are in force from now on.

    :param seeds: Control instances that the settings name.
    """

    seeds: tuple[InstanceId, ...]


@log_event("the settings can't be read", slice_name="daemon", level=Level.ERROR)
@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsUnreadable:
    """Rejection of changed settings; the previous ones stay in force.

    :param error: What is wrong with the changed settings.
    """

    error: str


@log_event("peer traffic", slice_name="daemon")
@dataclass(frozen=True, kw_only=True, slots=True)
class PeerTraffic:
    """Bytes queued for other instances since the previous such line.

    :param bytes_by_message: Bytes by kind of message.
    :param pending_bytes: Bytes that wait to be sent now.
    :param peak_memory_bytes: Largest resident memory that the process has had.
    """

    bytes_by_message: Mapping[str, int]
    pending_bytes: int
    peak_memory_bytes: int
