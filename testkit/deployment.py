"""A deployment of mothshunt as real processes on loopback."""

import hashlib
import json
import shutil
import tempfile
from collections.abc import Iterable
from pathlib import Path
from types import TracebackType
from typing import Any

from testkit.loop_thread import LoopThread
from testkit.peer_proxies import PeerProxies
from testkit.plain_http import http_get
from testkit.ports import HOST, PortReservations
from testkit.process import ManagedProcess, wait_until
from testkit.proxy import BOTH, Direction
from testkit.shape import InstancePlan

DAEMON_MODULE = "mothshunt.daemon.main"
DEPLOYMENT_KEY = "testkit-deployment-key"
BOOTSTRAP_TOKEN = "testkit-bootstrap-token"
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 60.0


class Instance:
    """One instance of a deployment: its plan, its ports and its process.

    :param plan: Which instance.
    :param ports: Source of its ports.
    :param folder: Folder for its settings, data and log.
    """

    def __init__(
        self, plan: InstancePlan, ports: PortReservations, folder: Path
    ) -> None:
        self.plan = plan
        self.id = plan.id
        self.traffic_port = ports.take()
        self.admin_port = ports.take()
        self.peer_port = ports.take()
        self.data_folder = folder / f"{plan.id}-data"
        self.settings_path = folder / f"{plan.id}.json"
        self.process = ManagedProcess(
            name=plan.id,
            module=DAEMON_MODULE,
            arguments=["--config", str(self.settings_path)],
            log_path=folder / f"{plan.id}.log",
        )

    @property
    def admin_url(self) -> str:
        """Return the start of URLs of the administration port."""
        return f"http://{HOST}:{self.admin_port}"

    @property
    def traffic_url(self) -> str:
        """Return the start of URLs of the traffic port."""
        return f"http://{HOST}:{self.traffic_port}"

    def is_ready(self) -> bool:
        """Tell whether the instance says that it is ready."""
        status, _ = http_get(f"{self.admin_url}/readyz")
        return status == 200

    def revision(self) -> int:
        """Return the revision in force at the instance; -1 without an answer."""
        _, body = http_get(f"{self.admin_url}/readyz")
        try:
            return int(json.loads(body)["revision"])
        except (ValueError, KeyError):
            return -1

    def metrics(self) -> dict[str, float]:
        """Return the metrics of the instance by series."""
        _, body = http_get(f"{self.admin_url}/metrics")
        lines = (x for x in body.decode().splitlines() if not x.startswith("#"))
        pairs = (line.rpartition(" ") for line in lines)
        return {series: float(value) for series, _, value in pairs if series}

    def wipe_disk(self) -> None:
        """Lose the data folder; the process must not be running."""
        assert not self.process.is_running(), f"{self.id} is running"
        shutil.rmtree(self.data_folder, ignore_errors=True)
        self.data_folder.mkdir()


class Deployment:
    """Run instances, and proxies between them where asked for.

    :param plans: Instances to run.
    :param with_proxies: Whether each instance reaches each control instance through
        a proxy of its own.
    :param region_rtt_s: Round-trip time between regions that the proxies add.
    :param log_level: Least severity that the instances log.
    :param routing: Settings about routing by hosts and path prefixes; ``None`` for a
        deployment that routes by contracts.
    """

    def __init__(
        self,
        plans: Iterable[InstancePlan],
        *,
        with_proxies: bool = False,
        region_rtt_s: float = 0.0,
        log_level: str = "info",
        routing: dict[str, Any] | None = None,
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="mothshunt-"))
        self.ports = PortReservations()
        self.loop = LoopThread()
        self._log_level = log_level
        self._routing = routing
        self.instance_by_id = {
            plan.id: Instance(plan, self.ports, self.folder) for plan in plans
        }
        self.proxies = PeerProxies(self.loop, self.ports)
        if with_proxies:
            self.proxies.start(self.instances, region_rtt_s)
        for instance in self.instance_by_id.values():
            self._write_settings(instance)

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    @property
    def instances(self) -> list[Instance]:
        """Return all instances."""
        return list(self.instance_by_id.values())

    @property
    def control_instances(self) -> list[Instance]:
        """Return the instances that keep durable state."""
        return [item for item in self.instances if item.plan.is_control]

    @property
    def entry_instances(self) -> list[Instance]:
        """Return the instances that serve callers."""
        return [item for item in self.instances if item.plan.is_entry]

    def __getitem__(self, instance_id: str) -> Instance:
        return self.instance_by_id[instance_id]

    def start(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Start all instances and wait until they are ready.

        :param timeout_s: Seconds to wait.
        """
        for instance in self.instances:
            instance.process.start()
        self.wait_ready(self.instances, timeout_s)

    def wait_ready(
        self, instances: Iterable[Instance], timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until instances are ready.

        :param instances: The instances.
        :param timeout_s: Seconds to wait.
        """
        waiting = list(instances)

        def all_ready() -> bool:
            for instance in waiting:
                if not instance.process.is_running():
                    tail = instance.process.log_tail()
                    raise RuntimeError(f"{instance.id} ended before ready:\n{tail}")
            return all(instance.is_ready() for instance in waiting)

        try:
            wait_until(all_ready, timeout_s, "all instances are ready")
        except TimeoutError as error:
            late = [item for item in waiting if not item.is_ready()]
            tails = "\n".join(f"-- {i.id}\n{i.process.log_tail()}" for i in late)
            raise TimeoutError(f"{error}\n{tails}") from None

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> dict[str, int]:
        """Stop all running instances gracefully and return their exit codes.

        :param timeout_s: Seconds to wait for each.
        """
        running = [item for item in self.instances if item.process.is_running()]
        for instance in running:
            instance.process.terminate()
        return {item.id: item.process.wait(timeout_s) for item in running}

    def close(self) -> None:
        """End what still runs, and forget the folder."""
        for instance in self.instances:
            instance.process.kill()
        self.proxies.stop()
        self.loop.close()
        self.ports.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def cut(
        self,
        one: Iterable[str],
        other: Iterable[str] | None = None,
        directions: tuple[Direction, ...] = BOTH,
    ) -> None:
        """Let nothing pass between two groups of instances, silently.

        :param one: Names of the instances of one group.
        :param other: Names of those of the other; all others by default.
        :param directions: Which way nothing passes, as the dialling side sees it.
        """
        group = set(one)
        others = set(self.instance_by_id) - group if other is None else set(other)
        self.proxies.cut(group, others, directions)

    def change_routing(self, **changes: Any) -> None:
        """Write changed settings about routing; running instances keep theirs.

        :param changes: The settings that change.
        """
        self._routing = {**(self._routing or {}), **changes}
        for instance in self.instances:
            self._write_settings(instance)

    def _write_settings(self, instance: Instance) -> None:
        instance.settings_path.write_text(
            json.dumps(self._settings(instance), indent=2)
        )
        if instance.plan.is_control:
            instance.data_folder.mkdir(exist_ok=True)

    def _settings(self, instance: Instance) -> dict[str, Any]:
        plan = instance.plan
        listen = {
            "admin": {"host": HOST, "port": instance.admin_port},
            "peer": {"host": HOST, "port": instance.peer_port},
        }
        if plan.is_entry:
            listen["traffic"] = {"host": HOST, "port": instance.traffic_port}
        settings: dict[str, Any] = {
            "instance": {
                "id": plan.id,
                "region": plan.region,
                "availability_zone": plan.availability_zone,
                "roles": list(plan.roles),
            },
            "listen": listen,
            "control": [
                {
                    "id": peer.id,
                    "host": HOST,
                    "port": self.proxies.port(plan.id, peer),
                }
                for peer in self.control_instances
            ],
            "deployment_key": DEPLOYMENT_KEY,
            "log_level": self._log_level,
        }
        if self._routing is not None:
            settings["routing"] = self._routing
        if plan.is_control:
            token = hashlib.sha256(BOOTSTRAP_TOKEN.encode()).hexdigest()
            settings["data_folder"] = str(instance.data_folder)
            settings["bootstrap_token_sha256"] = token
        return settings
