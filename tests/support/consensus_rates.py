"""Measure the replicated log between real processes on loopback.

Usage: ``python -m tests.support.consensus_rates [--instances 3] [--seconds 10]``. The
last line is one JSON object: processor time and bytes at rest, then the rate and the
latency of commands, for the leader and for the followers.
"""

import argparse
import asyncio
import json
import os
import resource
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from mothshunt.consensus.coordinator import ConsensusCoordinator
from mothshunt.core.clock import SystemClock
from mothshunt.helpers.peer.network import StreamNetwork
from mothshunt.metrics.registry import Metrics
from mothshunt.settings.config import Settings
from mothshunt.util import schema
from tests.support.consensus_net import CommandList

SEQUENTIAL = 300
CONCURRENT = 5000
LANES = 64
COMMAND = b"x" * 200
TIMEOUT_S = 10.0
SETTLE_S = 4.0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--child", default=None, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.child is not None:
        asyncio.run(async_child(json.loads(arguments.child), arguments.seconds))
        return
    print(json.dumps(measure(arguments.instances, arguments.seconds)))


def measure(instances, seconds):
    ports = free_ports(2 * instances)
    names = [f"c{number}" for number in range(instances)]
    control = [
        {"id": name, "host": "127.0.0.1", "port": port}
        for name, port in zip(names, ports, strict=False)
    ]
    with tempfile.TemporaryDirectory() as folder:
        children = []
        for position, name in enumerate(names):
            document = {
                "instance": {
                    "id": name,
                    "region": "north",
                    "availability_zone": "north-a",
                    "roles": ["control"],
                },
                "listen": {
                    "admin": {"host": "127.0.0.1", "port": ports[instances + position]},
                    "peer": {"host": "127.0.0.1", "port": ports[position]},
                },
                "control": control,
                "deployment_key": "k" * 32,
                "data_folder": str(Path(folder) / name),
                "bootstrap_token_sha256": "0" * 64,
            }
            command = [sys.executable, "-m", "tests.support.consensus_rates"]
            command += ["--seconds", str(seconds), "--child", json.dumps(document)]
            children.append(
                subprocess.Popen(command, stdout=subprocess.PIPE, env=os.environ)
            )
        reports = [json.loads(child.communicate()[0]) for child in children]
    return {"instances": instances, "reports": reports}


def free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


def processor_s():
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def async_child(document, seconds):
    settings = schema.from_plain(Settings, document).ok
    clock, metrics = SystemClock(), Metrics()
    network = StreamNetwork.from_config(settings, clock, metrics)
    log = ConsensusCoordinator.from_config(
        settings=settings,
        network=network,
        state_machine=CommandList(),
        clock=clock,
        metrics=metrics,
    )
    await network.async_start()
    for peer in settings.control:
        network.dial(peer.id, peer.host, peer.port)
    await log.async_start()
    while log.status().leader is None:
        await asyncio.sleep(0.1)
    await asyncio.sleep(SETTLE_S)
    report = await async_at_rest(network, seconds)
    # The others are still at rest for as long as they started later.
    await asyncio.sleep(SETTLE_S)
    report["leader"] = log.status().state == "leader"
    if report["leader"]:
        report |= await async_commands(log)
    else:
        await asyncio.sleep(15.0)
    report["rss_mb"] = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
    print(json.dumps(report))
    await log.async_stop()
    await network.async_stop()


async def async_at_rest(network, seconds):
    began_at, used_s = time.monotonic(), processor_s()
    sent = network.traffic.bytes_sent
    await asyncio.sleep(seconds)
    elapsed_s = time.monotonic() - began_at
    return {
        "idle_cpu_percent": round(100 * (processor_s() - used_s) / elapsed_s, 2),
        "idle_bytes_sent_per_s": round((network.traffic.bytes_sent - sent) / elapsed_s),
    }


async def async_commands(log):
    latencies = []
    for _ in range(SEQUENTIAL):
        began_at = time.monotonic()
        assert (await log.async_propose(COMMAND, TIMEOUT_S)).is_ok()
        latencies.append(time.monotonic() - began_at)
    latencies.sort()
    began_at, used_s = time.monotonic(), processor_s()

    async def async_lane():
        for _ in range(CONCURRENT // LANES):
            assert (await log.async_propose(COMMAND, TIMEOUT_S)).is_ok()

    await asyncio.gather(*(async_lane() for _ in range(LANES)))
    elapsed_s = time.monotonic() - began_at
    count = CONCURRENT // LANES * LANES
    return {
        "propose_p50_ms": round(latencies[len(latencies) // 2] * 1000, 2),
        "propose_p99_ms": round(latencies[int(len(latencies) * 0.99)] * 1000, 2),
        "commands_per_s": round(count / elapsed_s),
        "cpu_us_per_command": round(1e6 * (processor_s() - used_s) / count, 1),
    }


if __name__ == "__main__":
    main()
