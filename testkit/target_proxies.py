"""Proxies between each entry instance and each target, for partitions of these."""

import json
import os
import socket
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from testkit.deployment import Instance
from testkit.ports import HOST
from testkit.process import ManagedProcess
from testkit.proxy import FaultProxy

MODULE = "testkit.redirected_entry"


class Manner(Enum):
    """What becomes of connections between an entry instance and a target."""

    #: Nothing passes on open connections, and nothing answers an attempt to open one.
    HANG = "hang"
    #: Open connections are reset, and new ones are refused.
    RESET = "reset"
    #: Open connections go on, and new ones are refused.
    REFUSE_NEW = "live while new ones are refused"


def ports_path(folder: Path, instance_id: str) -> Path:
    """Return the file that maps ports of targets to ports of proxies."""
    return folder / f"{instance_id}-targets.json"


def redirect_targets(instance: Instance, folder: Path) -> None:
    """Have an instance that was not started reach targets through proxies.

    :param instance: The instance.
    :param folder: Folder of the deployment.
    """
    path = str(ports_path(folder, instance.id))
    instance.process = ManagedProcess(
        name=instance.id,
        module=MODULE,
        arguments=[path, "--config", str(instance.settings_path)],
        log_path=folder / f"{instance.id}.log",
    )


@dataclass
class TargetProxy:
    """Proxy of one entry instance in front of one target.

    :param target_port: Port of the target.
    """

    target_port: int
    port: int = 0
    _proxy: FaultProxy | None = None
    _blockers: list[socket.socket] = field(default_factory=list)

    async def start(self) -> None:
        """Listen on a free port."""
        self._proxy = FaultProxy(HOST, self.target_port)
        self.port = await self._proxy.async_start()

    async def partition(self, manner: Manner) -> None:
        """Begin a partition."""
        assert self._proxy is not None
        self._proxy.stop_listening()
        if manner is Manner.HANG:
            self._proxy.cut()
            self._drop_handshakes()
        elif manner is Manner.RESET:
            self._proxy.reset_open()

    def _drop_handshakes(self) -> None:
        """Listen with a full backlog: the kernel then drops requests to connect."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, self.port))
        listener.listen(0)
        self._blockers.append(listener)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self._blockers.append(filler)

    async def heal(self) -> None:
        """End a partition."""
        assert self._proxy is not None
        for blocker in reversed(self._blockers):
            blocker.close()
        self._blockers.clear()
        self._proxy.heal()
        await self._proxy.async_start(self.port)

    async def stop(self) -> None:
        """Close all connections."""
        for blocker in self._blockers:
            blocker.close()
        if self._proxy is not None:
            await self._proxy.async_stop()


@dataclass
class TargetProxies:
    """Proxies of all entry instances.

    :param folder: Folder of the deployment.
    """

    folder: Path
    proxies_by_entry: dict[str, list[TargetProxy]] = field(default_factory=dict)

    async def start(self, entries: list[str], target_ports: list[int]) -> None:
        """Start a proxy for each entry instance and target."""
        for entry in entries:
            proxies = [TargetProxy(port) for port in target_ports]
            for proxy in proxies:
                await proxy.start()
            self.proxies_by_entry[entry] = proxies
            path = ports_path(self.folder, entry)
            draft = path.with_suffix(".new")
            draft.write_text(json.dumps({p.target_port: p.port for p in proxies}))
            os.replace(draft, path)

    async def partition(self, entries: list[str], manner: Manner) -> None:
        """Partition entry instances from all targets."""
        for entry in entries:
            for proxy in self.proxies_by_entry[entry]:
                await proxy.partition(manner)

    async def heal(self, entries: list[str]) -> None:
        """End the partition of entry instances."""
        for entry in entries:
            for proxy in self.proxies_by_entry[entry]:
                await proxy.heal()

    async def stop(self) -> None:
        """Stop all proxies."""
        for proxies in self.proxies_by_entry.values():
            for proxy in proxies:
                await proxy.stop()
