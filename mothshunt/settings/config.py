"""Settings of one instance and their validation."""

import ipaddress
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from expression import Error, Ok, Result
from pydantic import ConfigDict, Field

from mothshunt.core.codes import Failure
from mothshunt.core.const import ID_PATTERN
from mothshunt.core.types import AvailabilityZoneId, InstanceId, RegionId, Role
from mothshunt.settings import codes
from mothshunt.util import schema

_STRICT = ConfigDict(extra="forbid")

MIN_KEY_LENGTH = 16
MAX_CONTROL_INSTANCES = 7

Port = Annotated[int, Field(ge=1, le=65535)]
Name = Annotated[str, Field(pattern=ID_PATTERN)]


@dataclass(frozen=True, kw_only=True, slots=True)
class Address:
    """TCP address.

    :param host: IP address.
    :param port: TCP port.
    """

    __pydantic_config__ = _STRICT

    host: str
    port: Port


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceSettings:
    """Identity, location and roles of the instance.

    :param id: Unique name in the deployment.
    :param region: Region that the instance runs in.
    :param availability_zone: Availability zone that the instance runs in.
    :param roles: Roles of the instance.
    """

    __pydantic_config__ = _STRICT

    id: Annotated[InstanceId, Field(pattern=ID_PATTERN)]
    region: Annotated[RegionId, Field(pattern=ID_PATTERN)]
    availability_zone: Annotated[AvailabilityZoneId, Field(pattern=ID_PATTERN)]
    roles: Annotated[tuple[Role, ...], Field(min_length=1)]


@dataclass(frozen=True, kw_only=True, slots=True)
class ListenSettings:
    """Addresses on which the instance listens.

    :param traffic: HTTP for callers and targets; required for the role ``entry``.
    :param admin: HTTP for the administration API, metrics and health.
    :param peer: Streams between instances.
    """

    __pydantic_config__ = _STRICT

    traffic: Address | None = None
    admin: Address
    peer: Address


@dataclass(frozen=True, kw_only=True, slots=True)
class ControlPeer:
    """Address of a control instance.

    :param id: Name of the instance.
    :param host: IP address of its peer streams.
    :param port: TCP port of its peer streams.
    """

    __pydantic_config__ = _STRICT

    id: Annotated[InstanceId, Field(pattern=ID_PATTERN)]
    host: str
    port: Port


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingSettings:
    """Settings of a deployment that routes by hosts and path prefixes.

    Limits apply to all entry instances together.

    :param may_found: Whether the control instances listed in the settings may create
        a new log. Set only for the first start of a deployment, never for an instance
        that lost its data folder: a majority of such instances creates a new log.
    :param voters: Maximum number of control instances that vote.
    :param renewal_interval_s: Interval between two renewals of a target, in seconds.
    :param retry_ratio: Extra attempts allowed, as a share of a service's requests.
    :param retry_slack: Extra attempts allowed in addition to this share.
    :param retry_window_s: Window in which extra attempts are counted, in seconds.
    :param cold_factor: Factor on the service's request rate for a cold target.
    :param cold_slack: Requests a second that such a target may receive in addition.
    :param rate_limit_min_per_s: Requests a second that a target may receive even if it
        names a lower rate limit, so that the end of the limit is noticed.
    :param max_region_shift: Share of a region's requests that may move to another
        region from one window of 2 s to the next.
    :param lookup_lifetime_s: Time for which callers may cache a look-up, in seconds.
    :param leave_s: Time that an instance has for leaving, in seconds.
    :param admits_by_priority: Whether a service that is short of capacity admits
        requests by the priorities of its workspaces and routes, and by fair shares of
        its workspaces.
    :param relays_when_isolated: Whether an entry instance that reaches no target relays
        requests through another entry instance.
    :param shares_target_loads: Whether entry instances may share what they learn of the
        loads of targets. They do it if targets report that their machines are slow, and
        there are dozens of instances or requests wait at the targets.
    """

    __pydantic_config__ = _STRICT

    may_found: bool = False
    voters: Annotated[int, Field(ge=1, le=MAX_CONTROL_INSTANCES)] = 5
    renewal_interval_s: Annotated[float, Field(gt=0)] = 1.5
    retry_ratio: Annotated[float, Field(ge=0)] = 0.1
    retry_slack: Annotated[float, Field(ge=0)] = 20.0
    retry_window_s: Annotated[float, Field(gt=0)] = 10.0
    cold_factor: Annotated[float, Field(ge=0)] = 1.0
    cold_slack: Annotated[float, Field(ge=0)] = 0.0
    rate_limit_min_per_s: Annotated[float, Field(gt=0)] = 0.25
    max_region_shift: Annotated[float, Field(ge=0, le=1)] = 0.1
    lookup_lifetime_s: Annotated[float, Field(gt=0)] = 2.0
    leave_s: Annotated[float, Field(gt=0)] = 6.0
    admits_by_priority: bool = False
    relays_when_isolated: bool = False
    shares_target_loads: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Settings:
    """All settings of one instance.

    :param instance: Identity, location and roles of the instance.
    :param listen: Addresses on which the instance listens.
    :param control: Control instances to connect to at the start.
    :param deployment_key: Secret that all instances of a deployment share.
    :param data_folder: Folder for durable state; required for the role ``control``.
    :param bootstrap_token_sha256: Hash of the token of the first administrator,
        in hexadecimal digits; required for the role ``control``.
    :param log_level: Lowest severity that is logged.
    :param routing: Settings for routing by hosts and path prefixes; absent if the
        deployment routes by contracts.
    """

    __pydantic_config__ = _STRICT

    instance: InstanceSettings
    listen: ListenSettings
    control: Annotated[
        tuple[ControlPeer, ...], Field(min_length=1, max_length=MAX_CONTROL_INSTANCES)
    ]
    deployment_key: Annotated[str, Field(min_length=MIN_KEY_LENGTH, max_length=256)]
    data_folder: str | None = None
    bootstrap_token_sha256: Annotated[str | None, Field(pattern=r"^[0-9a-f]{64}$")] = (
        None
    )
    log_level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"
    routing: RoutingSettings | None = None

    @classmethod
    def from_file(cls, path: Path) -> Result["Settings", tuple[Failure, ...]]:
        """Read and validate a settings file.

        :param path: Path of the JSON file.
        :return: The settings, or all faults found, each with its path in the file.
        """
        try:
            text = path.read_bytes()
        except OSError as error:
            detail = f"{path}: {error.strerror}"
            return Error((Failure(code=codes.UNREADABLE, detail=detail),))
        return cls.from_text(text)

    @classmethod
    def from_text(cls, text: bytes) -> Result["Settings", tuple[Failure, ...]]:
        """Parse and validate settings.

        :param text: JSON text in UTF-8.
        :return: The settings, or all faults found, each with its path in the text.
        """
        match schema.from_json(cls, text):
            case Result(tag="ok", ok=settings):
                failures = tuple(_contradictions(settings))
                return Error(failures) if failures else Ok(settings)
            case Result(error=faults):
                return Error(
                    tuple(
                        Failure(
                            code=codes.INVALID, path=fault.path, detail=fault.problem
                        )
                        for fault in faults
                    )
                )

    def has_role(self, role: Role) -> bool:
        """Whether the instance has a role.

        :param role: Role to check.
        """
        return role in self.instance.roles


def _contradictions(settings: Settings) -> Iterator[Failure]:
    yield from _address_failures(settings)
    if settings.has_role(Role.ENTRY) and settings.listen.traffic is None:
        yield _inconsistent("/listen/traffic", "the role entry requires this address")
    if not settings.has_role(Role.CONTROL):
        return
    if settings.data_folder is None:
        yield _inconsistent("/data_folder", "the role control requires a data folder")
    if settings.bootstrap_token_sha256 is None:
        yield _inconsistent(
            "/bootstrap_token_sha256", "the role control requires this token hash"
        )


def _address_failures(settings: Settings) -> Iterator[Failure]:
    host_by_path = {
        "/listen/admin/host": settings.listen.admin.host,
        "/listen/peer/host": settings.listen.peer.host,
    }
    if settings.listen.traffic is not None:
        host_by_path["/listen/traffic/host"] = settings.listen.traffic.host
    for index, peer in enumerate(settings.control):
        host_by_path[f"/control/{index}/host"] = peer.host
    for path, host in host_by_path.items():
        if not _is_ip_address(host):
            yield _inconsistent(path, "not an IP address")
    ids = [peer.id for peer in settings.control]
    if len(set(ids)) != len(ids):
        yield _inconsistent("/control", "two control instances have the same id")


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _inconsistent(path: str, detail: str) -> Failure:
    return Failure(code=codes.INCONSISTENT, path=path, detail=detail)
