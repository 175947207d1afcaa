"""Real processes on addresses of loopback, and the platform's side of the wire."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from aiohttp import web

from testkit.web_target import WebTarget

REPOSITORY = Path(__file__).parents[2]
START_TIMEOUT_S = 20.0
REQUEST_ID = "Mothshunt-Attempt-Id"
PROOF = "Mothshunt-Response-Seal"
ZONES = {"z-0": "r-0", "z-1": "r-1", "z-2": "r-2"}
SERVICE = {
    "health_path": "/healthz",
    "max_connections": 100,
    "protocol": "h1",
    "tls": False,
    "cold_start": "3s",
    "cold_per_s": 10.0,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 1048576,
    "header_timeout": "3000ms",
    "idle_timeout": "15000ms",
    "version": "r1",
}
ROUTE = {
    "kind": "safe",
    "timeout": "2500ms",
    "target_latency": "300ms",
    "priority": 1,
    "max_attempts": 2,
    "sticky": True,
    "allowed_regions": [],
}


@dataclass
class Process:
    """One instance of the deployment."""

    ip: str
    number: int
    is_control: bool
    folder: Path
    popen: subprocess.Popen | None = None


@dataclass
class Target(WebTarget):
    """A target that speaks the platform's protocol."""

    number: int
    service: str
    ip: str
    delay_s: float = 0.0
    state: str = "ready"
    limit: str | None = None
    requests: list = field(default_factory=list)
    headers: list = field(default_factory=list)
    running: int = 0
    sequence: int = 0
    beats: asyncio.Task | None = None

    @property
    def zone(self) -> str:
        return f"z-{self.number % 3}"

    async def start(self) -> None:
        await self.listen(self.ip, 8080)

    async def handle(self, request: web.Request) -> web.Response:
        if request.headers.get("Mothshunt-Expect-Instance") != f"i-{self.number}":
            return web.Response(status=421)
        self.requests.append((request.raw_path, request.headers.get(REQUEST_ID)))
        self.headers.append(request.headers)
        self.running += 1
        await asyncio.sleep(self.delay_s)
        self.running -= 1
        headers = {PROOF: f"seal-{self.number}", "Mothshunt-Server-Load": "0,0,4"}
        headers[REQUEST_ID] = request.headers.get(REQUEST_ID, "")
        if self.limit is not None:
            headers["Server-Limit"] = self.limit
        return web.Response(text=f"target {self.number}", headers=headers)

    def report(self) -> dict:
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.ip}:8080",
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": self.state,
            "cold_remaining": "0ms",
            "sequence": self.sequence,
            "born": 1000 + self.number,
        }


class PlatformDeployment:
    """Run the programs and speak to them as the platform does."""

    def __init__(self, stack, controls: int, entries: int) -> None:
        self.stack = stack
        self.folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        # Addresses of loopback that no other run on this machine is likely to use.
        self.net = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}"
        self.processes = [
            self._process(number, number < controls)
            for number in range(controls + entries)
        ]
        self.controls = self.processes[:controls]
        self.entries = self.processes[controls:]
        self.targets: list[Target] = []
        self.runner = stack.enter_context(asyncio.Runner())
        stack.callback(self.stop)
        for process in self.processes:
            self.start(process, bootstrap=True)

    def run(self, coroutine):
        return self.runner.run(coroutine)

    def _process(self, number: int, is_control: bool) -> Process:
        folder = self.folder / str(number)
        folder.mkdir()
        return Process(f"{self.net}.{number + 1}", number, is_control, folder)

    def write_settings(
        self, process: Process, *, bootstrap: bool = False, seeds=None
    ) -> Path:
        """Write the settings of a process as the platform does."""
        listen = {"control": f"{process.ip}:8649", "directory": f"{process.ip}:8644"}
        if not process.is_control:
            listen = {
                "frontend": f"{process.ip}:8641",
                "readiness": f"{process.ip}:8640",
                "directory": f"{process.ip}:8644",
            }
        zone = f"z-{process.number % 3}"
        document = {
            "node_name": f"node-{process.number}",
            "ip": process.ip,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen": listen,
            "internal_ports": [7620, 7635],
            "seeds": seeds or [f"{c.ip}:8649" for c in self.controls[:3]],
            "bootstrap": bootstrap,
            "data_dir": str(process.folder / "data") if process.is_control else None,
            "heartbeat": "500ms",
            "fault_tolerance": {"nodes": 1},
            "bounds": {"grace": "6s", "retry_budget_ratio": 0.2, "retry_slack": 56},
        }
        settings = process.folder / "settings.json"
        settings.write_text(json.dumps(document))
        return settings

    def start(self, process: Process, *, bootstrap: bool, seeds=None) -> None:
        settings = self.write_settings(process, bootstrap=bootstrap, seeds=seeds)
        log = (process.folder / "log").open("ab")
        process.popen = subprocess.Popen(
            [sys.executable, "-m", "mothshunt.platform"],
            cwd=REPOSITORY,
            env={**os.environ, "MOTHSHUNT_NODE_FILE": str(settings)},
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()

    def stop(self) -> None:
        for target in self.targets:
            if target.beats is not None:
                target.beats.cancel()
            self.run(target.runner.cleanup())
        for process in self.processes:
            if process.popen is not None and process.popen.poll() is None:
                process.popen.kill()
                process.popen.wait()

    def kill(self, process: Process, number: int = signal.SIGKILL) -> None:
        process.popen.send_signal(number)
        if number == signal.SIGKILL:
            process.popen.wait()

    def add_target(self, service: str, delay_s: float) -> None:
        number = len(self.targets) + 1
        target = Target(number, service, f"{self.net}.{100 + number}", delay_s)
        self.run(target.start())
        self.targets.append(target)
        target.beats = self.runner.get_loop().create_task(self._beat(target))

    async def _beat(self, target: Target) -> None:
        while True:
            await self.call_control(
                "POST", f"/-/Instances.Heartbeat/i-{target.number}", target.report()
            )
            await asyncio.sleep(0.5)

    async def call_control(self, method, path, document=None):
        """Call a control process, and the next one where that fails."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for process in self.controls:
                url = f"http://{process.ip}:8649{path}"
                try:
                    async with session.request(method, url, json=document) as answer:
                        if answer.status < 500:
                            return answer.status, await answer.json()
                except (aiohttp.ClientError, TimeoutError, OSError):
                    continue
        return 0, {}

    async def async_until(self, condition, timeout_s=START_TIMEOUT_S):
        """Wait until an awaited condition holds."""
        async with asyncio.timeout(timeout_s):
            while True:
                found = await condition()
                if found:
                    return found
                await asyncio.sleep(0.1)

    async def get(self, ip, port, path, headers=None, timeout_s=5.0):
        """Send a GET, on a connection of its own, and return status, headers, body."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            try:
                url = aiohttp.client.URL(f"http://{ip}:{port}{path}", encoded=True)
                async with session.get(url, headers=headers) as answer:
                    return answer.status, answer.headers, await answer.text()
            except (aiohttp.ClientError, TimeoutError, OSError):
                return 0, {}, ""
