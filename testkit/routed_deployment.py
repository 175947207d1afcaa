"""A deployment that routes by hosts and path prefixes, as processes on loopback."""

import asyncio
import contextlib
import json
import resource
import subprocess
from collections.abc import Awaitable, Callable, Coroutine
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import Any, TypeVar

import aiohttp
from aiohttp import web

from mothshunt.core.const import HEADER_DEADLINE_MS, HEADER_REQUEST_ID
from testkit.command_line import run_command
from testkit.deployment import Deployment, Instance
from testkit.loop_thread import CALL_TIMEOUT_S, LoopThread
from testkit.plain_http import http_get
from testkit.ports import HOST
from testkit.process import wait_until
from testkit.shape import REGIONS, InstancePlan
from testkit.target_proxies import redirect_targets
from testkit.web_target import WebTarget

T = TypeVar("T")

START_TIMEOUT_S = 20.0
RENEW_INTERVAL_S = 0.3
EXPECTED_TARGET = "Mothshunt-Expected-Target"
ROUTING = {"may_found": True, "voters": 3, "renewal_interval_s": RENEW_INTERVAL_S}

SERVICE = "stock"
#: Host that callers ask for.
CALLERS_HOST = "shop.example"
#: Number of the target that takes over an address.
STRANGER = 9


def routing_items(version: int, service: str = SERVICE) -> dict[str, Any]:
    """Return a service with a route for reads and one for orders.

    :param version: Version of all of them.
    :param service: Service that the routes go to.
    """
    return {
        "services": [{"name": SERVICE, "version": version}],
        "routes": [
            {
                "name": "reads",
                "version": version,
                "host": CALLERS_HOST,
                "path_prefix": "/stock/",
                "kind": "idempotent",
                "timeout_ms": 2000,
                "target_latency_ms": 300,
                "services": [{"service": service}],
                "max_attempts": 2,
            },
            {
                "name": "orders",
                "version": version,
                "host": CALLERS_HOST,
                "path_prefix": "/orders/",
                "kind": "non_idempotent",
                "timeout_ms": 1000,
                "target_latency_ms": 300,
                "services": [{"service": service}],
                "max_attempts": 2,
            },
        ],
    }


@dataclass
class Target(WebTarget):
    """A target that renews itself at the control instances."""

    number: int
    service: str
    port: int = 0
    sequence: int = 0
    requests: list = field(default_factory=list)
    renewals: "Future[None] | None" = None
    delay_s: float = 0.0
    slots: int = 4

    @property
    def region(self) -> str:
        """Return the region that it runs in."""
        return REGIONS[(self.number - 1) % len(REGIONS)]

    @property
    def name(self) -> str:
        """Return its unique name."""
        return f"target-{self.number}"

    async def start(self) -> None:
        """Listen on a free port."""
        self.port = await self.listen(HOST, 0)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a request with the name of the target.

        :param request: The request.
        """
        request_id = request.headers.get(HEADER_REQUEST_ID, "")
        if request.headers.get(EXPECTED_TARGET) != self.name:
            headers = {HEADER_REQUEST_ID: request_id}
            return web.Response(status=421, headers=headers)
        self.requests.append(request.raw_path)
        await asyncio.sleep(self.delay_s)
        return web.Response(text=self.name, headers={HEADER_REQUEST_ID: request_id})

    def renewal(self) -> dict[str, Any]:
        """Return the next renewal."""
        self.sequence += 1
        return {
            "target": self.name,
            "incarnation": 1,
            "sequence": self.sequence,
            "service": self.service,
            "host": HOST,
            "port": self.port,
            "region": self.region,
            "availability_zone": f"{self.region}-a",
            "slots": self.slots,
        }


class RoutedDeployment:
    """Run the product's own program, and call it as operators and callers do.

    :param stack: Ends what was started.
    :param plans: Instances to run.
    :param with_proxies: Whether streams between instances can be cut.
    :param full_disk_of: Name of an instance that can't write a byte from its start.
    :param redirects_targets: Whether each entry instance reaches each target through a
        proxy of its own, see ``testkit.target_proxies``.
    :param routing: Settings about routing that differ from ``ROUTING``.
    """

    def __init__(
        self,
        stack: contextlib.ExitStack,
        plans: tuple[InstancePlan, ...],
        *,
        with_proxies: bool = False,
        full_disk_of: str | None = None,
        redirects_targets: bool = False,
        routing: dict[str, Any] | None = None,
    ) -> None:
        deployment = Deployment(
            plans, routing={**ROUTING, **(routing or {})}, with_proxies=with_proxies
        )
        self.deployment = stack.enter_context(deployment)
        self.targets: list[Target] = []
        # In a thread, so that targets go on while a command or a test step blocks.
        self._loop = LoopThread()
        stack.callback(self._loop.close)
        stack.callback(self.stop_targets)
        if redirects_targets:
            for instance in self.deployment.entry_instances:
                redirect_targets(instance, self.deployment.folder)
        for instance in self.deployment.instances:
            instance.process.start()
            if instance.id == full_disk_of:
                pid = instance.process.pid
                resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, 0))
        controls = [
            instance
            for instance in self.deployment.control_instances
            if instance.id != full_disk_of
        ]
        self.urls = [instance.admin_url for instance in controls]
        wait_until(self._all_listen, START_TIMEOUT_S, "control instances listen")

    def _all_listen(self) -> bool:
        return all(http_get(f"{url}/healthz")[0] == 200 for url in self.urls)

    def run(self, work: Coroutine[Any, Any, T], timeout_s: float = CALL_TIMEOUT_S) -> T:
        """Run a coroutine in the loop of the targets and return its result.

        :param work: The coroutine.
        :param timeout_s: Seconds to wait.
        """
        return self._loop.run(work, timeout_s)

    def command(self, *words: str) -> subprocess.CompletedProcess[str]:
        """Run the command line of operators.

        :param words: The command and its arguments.
        """
        return run_command(self.urls, words)

    @staticmethod
    def address(instance: Instance) -> str:
        """Return where callers reach an entry instance."""
        return f"{HOST}:{instance.traffic_port}"

    def write(self, name: str, document: dict[str, Any]) -> str:
        """Write a document as JSON; return its path.

        :param name: Name of the file.
        :param document: What it holds.
        """
        path = self.deployment.folder / name
        path.write_text(json.dumps(document))
        return str(path)

    def add_target(self, service: str, *, delay_s: float = 0.0, slots: int = 4) -> None:
        """Start another target.

        :param service: Service that it serves.
        :param delay_s: Time that it takes for a request, in seconds.
        :param slots: Requests that it says it runs at a time.
        """
        self.run_target(
            Target(len(self.targets) + 1, service, delay_s=delay_s, slots=slots)
        )

    def run_target(self, target: Target) -> None:
        """Start a target, and let it renew itself from now on."""
        self.run(target.start())
        self.targets.append(target)
        target.renewals = self._loop.submit(self._renew(target))

    def take_over_address(self, target: Target) -> None:
        """Have another target answer at the address of one that says nothing more.

        :param target: The target that is gone.
        """

        async def take_over() -> None:
            if target.renewals is not None:
                target.renewals.cancel()
            target.number = STRANGER

        self.run(take_over())

    async def _renew(self, target: Target) -> None:
        while True:
            await self.send("POST", "/v1/targets", target.renewal())
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def send(
        self, method: str, path: str, document: dict[str, Any] | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Call a control instance, and the next one where that fails.

        :param method: HTTP method.
        :param path: Path of the administration API.
        :param document: What is sent as JSON.
        :return: Status and body; 0 and an empty one without an answer.
        """
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for url in list(self.urls):
                try:
                    async with session.request(
                        method, url + path, json=document
                    ) as answer:
                        if answer.status < 500:
                            return answer.status, await answer.json()
                except (aiohttp.ClientError, TimeoutError, OSError):
                    # Asked last from now on, as it may be down for a while.
                    self.urls.remove(url)
                    self.urls.append(url)
        return 0, {}

    async def get(
        self,
        address: str,
        host: str,
        path: str,
        *,
        request_id: str = "r-1",
        method: str = "GET",
        key: str | None = None,
    ) -> tuple[int, str]:
        """Send a request as a caller does; return status and body.

        :param address: ``host:port`` of the entry instance.
        :param host: Host that is asked for.
        :param path: Path.
        :param request_id: Id of the request.
        :param method: HTTP method.
        :param key: Key of a workspace; ``None`` to send none.
        """
        headers = {
            "Host": host,
            HEADER_REQUEST_ID: request_id,
            HEADER_DEADLINE_MS: "2000",
        }
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        timeout = aiohttp.ClientTimeout(total=5.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            try:
                url = f"http://{address}{path}"
                async with session.request(method, url, headers=headers) as answer:
                    return answer.status, await answer.text()
            except (aiohttp.ClientError, TimeoutError, OSError):
                return 0, ""

    async def async_until(
        self, condition: Callable[[], Awaitable[T]], timeout_s: float = START_TIMEOUT_S
    ) -> T:
        """Wait until an awaited condition holds, and return what it found.

        :param condition: Asked again and again.
        :param timeout_s: Seconds to wait.
        """
        async with asyncio.timeout(timeout_s):
            while True:
                found = await condition()
                if found:
                    return found
                await asyncio.sleep(0.1)

    def stop_targets(self) -> None:
        """End all targets."""
        for target in self.targets:
            if target.renewals is not None:
                target.renewals.cancel()
            self.run(target.stop())
