"""Memory and processor time that workspaces take at control and entry instances."""

import gc
import json
import secrets
import time
import tracemalloc
from typing import Any

from mothshunt.configuration.delivery import Delta
from mothshunt.configuration.holder import ConfigurationHolder
from mothshunt.configuration.mirror import ConfigurationMirror
from mothshunt.configuration.publisher import ConfigurationPublisher
from mothshunt.configuration.state import ReplicatedConfiguration
from mothshunt.core.types import LogIndex, Revision
from mothshunt.forwarding.authentication import authenticate
from mothshunt.platform import documents
from mothshunt.routing.messages import PatchRouting
from mothshunt.util import wire

WORKSPACES = 1000
QUICK_WORKSPACES = 200
KEYS = 10
#: Workspaces in a call; a call with all of them exceeds the largest log entry.
PER_CALL = 250
CHANGES = 50
LOOKUPS = 20_000
ROUTES = 50
MILLISECONDS = 1000
MICROSECONDS = 1_000_000


class _NoNetwork:
    def post_all(self, *_: object) -> list[str]:
        """Send nothing."""
        return []


def run(*, quick: bool) -> dict[str, Any]:
    """Measure a configuration without workspaces and one with them.

    :param quick: Whether to set fewer workspaces.
    :return: Bytes and times; all times are processor time of this thread.
    """
    count = QUICK_WORKSPACES if quick else WORKSPACES
    result: dict[str, Any] = {"workspaces": count, "keys_each": KEYS}
    for name, workspaces in (("without", 0), ("with", count)):
        result[name] = _measure(workspaces)
    print(json.dumps(result, indent=2))
    return result


def _measure(count: int) -> dict[str, Any]:
    state = ReplicatedConfiguration()
    publisher = ConfigurationPublisher(
        state,
        None,  # type: ignore[arg-type]
        ConfigurationHolder(),
        _NoNetwork(),  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
    )
    keys = [[secrets.token_hex(10) for _ in range(KEYS)] for _ in range(count)]
    patches = [_routes(), *_workspaces(keys)]
    result: dict[str, Any] = {
        "largest_command_bytes": max(len(wire.pack(patch)) for patch in patches)
    }
    for index, patch in enumerate(patches, 1):
        state.apply(LogIndex(index), patch)
        publisher._on_applied(LogIndex(index))
    index = len(patches)

    first = publisher._build_delta(Revision(0), is_whole=False)
    result["first_delta_bytes"] = len(wire.pack(first))
    del first
    gc.collect()
    tracemalloc.start()
    holder, mirror = ConfigurationHolder(), ConfigurationMirror()
    _deliver(publisher, holder, mirror, Revision(0))
    gc.collect()
    result["entry_bytes"] = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    holder, mirror = ConfigurationHolder(), ConfigurationMirror()
    result["entry_first_ms"] = MILLISECONDS * _timed(
        lambda: _deliver(publisher, holder, mirror, Revision(0))
    )

    merge_s = publish_s = entry_s = 0.0
    for number in range(CHANGES):
        index += 1
        patch = _routes(version=number + 2)
        if count:
            # One key of a workspace is replaced.
            key = secrets.token_hex(10)
            patch = _workspace(number % count, [key], number + 2)
        held = state.store.revision
        at = LogIndex(index)
        merge_s += _timed(lambda at=at, patch=patch: state.apply(at, patch))
        publish_s += _timed(lambda at=at: publisher._on_applied(at))
        entry_s += _timed(lambda held=held: _deliver(publisher, holder, mirror, held))
    last = publisher._build_delta(held, is_whole=False)
    result["change_delta_bytes"] = len(wire.pack(last))
    result["control_merge_ms"] = MILLISECONDS * merge_s / CHANGES
    result["control_publish_ms"] = MILLISECONDS * publish_s / CHANGES
    result["entry_change_ms"] = MILLISECONDS * entry_s / CHANGES

    table = holder.current().routing
    (routes,) = table.routes_by_host.values()
    values = [f"Bearer {keys[-1][0]}"] if count else []
    lookups_s = _timed(
        lambda: [
            authenticate(values, routes[0], table, lambda: True) for _ in range(LOOKUPS)
        ]
    )
    result["lookup_us"] = MICROSECONDS * lookups_s / LOOKUPS
    return {
        name: value if isinstance(value, int) else round(value, 3)
        for name, value in result.items()
    }


def _deliver(
    publisher: ConfigurationPublisher,
    holder: ConfigurationHolder,
    mirror: ConfigurationMirror,
    since: Revision,
) -> None:
    """Send a follower the changes after a revision, as the streams do."""
    delta = wire.unpack(wire.pack(publisher._build_delta(since, is_whole=False))).ok
    assert isinstance(delta, Delta)
    mirror.apply(delta)
    holder.put_in_force(mirror.store)


def _timed(function: Any) -> float:
    began = time.thread_time()
    function()
    return time.thread_time() - began


def _read(document: dict[str, Any]) -> PatchRouting:
    return documents.read_patch({"upsert": document})


def _routes(version: int = 1) -> PatchRouting:
    paths = [
        {
            "name": f"route-{number}",
            "path_prefix": f"/{number}/",
            "service": "s",
            "kind": "safe",
            "timeout": "2s",
            "target_latency": "300ms",
            "priority": 1,
            "max_attempts": 2,
            "version": f"r{version if not number else 1}",
        }
        for number in range(ROUTES)
    ]
    service = {"name": "s", "health_path": "/h", "max_connections": 9, "version": "r1"}
    hosts = [{"host": "shop.example", "paths": paths}]
    return _read({"services": [service], "hosts": hosts})


def _tenant(number: int, keys: list[str], version: int) -> dict[str, Any]:
    return {
        "name": f"workspace-{number}",
        "api_keys": keys,
        "priority": 1,
        "per_s": 358,
        "burst": 358,
        "allowed_regions": [],
        "version": f"r{version}",
    }


def _workspace(number: int, keys: list[str], version: int) -> PatchRouting:
    return _read({"tenants": [_tenant(number, keys, version)]})


def _workspaces(keys: list[list[str]]) -> list[PatchRouting]:
    tenants = [_tenant(number, own, 1) for number, own in enumerate(keys)]
    return [
        _read({"tenants": tenants[start : start + PER_CALL]})
        for start in range(0, len(tenants), PER_CALL)
    ]
