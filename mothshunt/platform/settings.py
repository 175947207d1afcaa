"""The platform's settings file, read as settings of the product."""

import json
from dataclasses import dataclass
from typing import Any

from mothshunt.core.types import AvailabilityZoneId, InstanceId, RegionId, Role
from mothshunt.platform import values
from mothshunt.platform.values import BadValueError
from mothshunt.settings.config import (
    MAX_CONTROL_INSTANCES,
    Address,
    ControlPeer,
    InstanceSettings,
    ListenSettings,
    RoutingSettings,
    Settings,
)

#: The platform hands out no secret: whoever reaches the internal ports is trusted, as
#: docs/design/platform.md tells. The key only keeps apart what speaks another protocol.
PLATFORM_KEY = "mothshunt-platform-network"

#: TCP port of the metrics, as deploy/system.toml names it.
METRICS_PORT = 9464
#: Part of the lifetime of a look-up that the platform allows; instances that are gone
#: are named for a shorter time.
LOOKUP_LIFETIME_PART = 0.4


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformSettings:
    """Hold what one settings file says.

    :param settings: Settings of the instance.
    :param name: The machine's name, for the logs.
    :param region_by_zone: Regions of the availability zones.
    :param control: Where targets and operators are served; ``None`` for nowhere.
    :param directory: Where callers ask for entry instances; ``None`` for nowhere.
    :param readiness: Where the platform asks for readiness; ``None`` for nowhere.
    """

    settings: Settings
    name: str
    region_by_zone: dict[AvailabilityZoneId, RegionId]
    control: Address | None
    directory: Address | None
    readiness: Address | None


def read_settings(content: bytes) -> PlatformSettings:
    """Read a settings file; fields that are not known are passed over.

    :param content: JSON text.
    :raises BadValueError: When it is not what the platform promises.
    """
    try:
        document = values.table(json.loads(content), "")
    except ValueError as error:
        raise BadValueError("", str(error)) from error
    listen = values.table(document.get("listen"), "listen")
    ip = values.text(document.get("ip"), "ip")
    ports = values.rows(document.get("internal_ports"), "internal_ports")
    if len(ports) != 2:
        raise BadValueError("internal_ports", "not a first and a last port")
    first_port = values.whole(ports[0], "internal_ports/0", 1, 65534)
    zones = values.table(document.get("zones"), "zones")
    data_folder = document.get("data_dir")
    entry = _address(listen, "frontend")
    settings = Settings(
        instance=InstanceSettings(
            id=InstanceId(ip),
            region=RegionId(values.text(document.get("region"), "region")),
            availability_zone=AvailabilityZoneId(
                values.text(document.get("zone"), "zone")
            ),
            roles=(Role.CONTROL,) if entry is None else (Role.ENTRY,),
        ),
        listen=ListenSettings(
            traffic=entry,
            admin=Address(host=ip, port=METRICS_PORT),
            peer=Address(host=ip, port=first_port),
        ),
        control=tuple(_seeds(document, first_port)),
        deployment_key=PLATFORM_KEY,
        data_folder=values.text(data_folder, "data_dir") if data_folder else None,
        routing=_routing(document),
    )
    return PlatformSettings(
        settings=settings,
        name=values.text(document.get("node_name"), "node_name"),
        region_by_zone={
            AvailabilityZoneId(zone): RegionId(values.text(region, f"zones/{zone}"))
            for zone, region in zones.items()
        },
        control=_address(listen, "control"),
        directory=_address(listen, "directory"),
        readiness=_address(listen, "readiness"),
    )


def _address(listen: dict[str, Any], name: str) -> Address | None:
    if listen.get(name) is None:
        return None
    host, port = values.address(listen[name], f"listen/{name}")
    return Address(host=host, port=port)


def _seeds(document: dict[str, Any], peer_port: int) -> list[ControlPeer]:
    """Return the control instances that the settings name.

    The file names where they serve operators; their streams are at the same port as
    this instance's own.
    """
    seeds = []
    for index, seed in enumerate(values.rows(document.get("seeds"), "seeds")):
        host, _ = values.address(seed, f"seeds/{index}")
        seeds.append(ControlPeer(id=InstanceId(host), host=host, port=peer_port))
    return seeds


def _routing(document: dict[str, Any]) -> RoutingSettings:
    bounds = values.table(document.get("bounds", {}), "bounds")
    tolerance = values.table(document.get("fault_tolerance", {}), "fault_tolerance")
    usual = RoutingSettings()

    def bound(name: str, default: float) -> float:
        if bounds.get(name) is None:
            return default
        return values.number(bounds[name], f"bounds/{name}")

    def time_bound(name: str, default_s: float) -> float:
        if bounds.get(name) is None:
            return default_s
        return values.seconds(bounds[name], f"bounds/{name}")

    losses = values.whole(tolerance.get("nodes", 2), "fault_tolerance/nodes", 0, 100)
    heartbeat = document.get("heartbeat")
    return RoutingSettings(
        may_found=document.get("bootstrap") is True,
        # A majority is left after as many losses.
        voters=min(MAX_CONTROL_INSTANCES, 2 * losses + 1),
        renewal_interval_s=(
            values.seconds(heartbeat, "heartbeat")
            if heartbeat
            else usual.renewal_interval_s
        ),
        retry_ratio=bound("retry_budget_ratio", usual.retry_ratio),
        retry_slack=bound("retry_slack", usual.retry_slack),
        retry_window_s=time_bound("retry_window", usual.retry_window_s),
        cold_factor=bound("cold_factor", usual.cold_factor),
        cold_slack=bound("cold_slack", usual.cold_slack),
        max_region_shift=bound("max_region_shift", usual.max_region_shift),
        lookup_lifetime_s=LOOKUP_LIFETIME_PART * time_bound("ttl_max", 5.0),
        leave_s=time_bound("grace", usual.leave_s),
        relays_when_isolated=True,
        # Nothing in the file tells whether loads are to be shared; whether they are
        # depends on the configuration and on what targets report.
        shares_target_loads=True,
    )
