"""Changes of the configuration: rate, time in force, and what control costs at rest.

The baseline in the same run is a deployment of one instance, which replicates nothing.
"""

import asyncio
import time
from collections.abc import Sequence
from statistics import median
from typing import Any

import aiohttp
import psutil

from bench.change_client import ChangeClient, ChangeTime
from testkit.deployment import Instance
from testkit.environment import Environment
from testkit.shape import RACKHAVEN_REGION_RTT_S, InstancePlan, single, today

WRITERS = 16
BURST = 100
SETTLE_S = 3.0
PERCENT = 100


def run(*, quick: bool) -> dict[str, Any]:
    """Return the figures of today's deployment and of the baseline.

    :param quick: Whether to end within 45 s.
    """
    changes = 60 if quick else 400
    rate_s = 3.0 if quick else 10.0
    rest_s = 5.0 if quick else 30.0
    result = _measure(today(), changes, rate_s)
    result |= _measure_rest(rest_s)
    result["with_35_ms_between_regions"] = _measure(
        today(), changes, rate_s, RACKHAVEN_REGION_RTT_S
    )
    result["baseline_one_instance"] = _measure(single(), changes, rate_s)
    return result


def _measure(
    plans: Sequence[InstancePlan],
    changes: int,
    rate_s: float,
    region_rtt_s: float = 0.0,
) -> dict[str, Any]:
    with Environment(
        plans, with_proxies=region_rtt_s > 0, region_rtt_s=region_rtt_s
    ) as environment:
        environment.deployment.start()
        return asyncio.run(_async_measure(environment, changes, rate_s))


async def _async_measure(
    environment: Environment, changes: int, rate_s: float
) -> dict[str, Any]:
    instances = environment.deployment.instances
    control = environment.deployment.control_instances
    async with aiohttp.ClientSession() as session:
        client = ChangeClient(session, control)
        in_force_s, accepted_s = await _async_one_by_one(client, instances, changes)
        before = [_usage(item) for item in instances]
        rate, made = await _async_rate(client, rate_s)
        after = [_usage(item) for item in instances]
        result = {
            "instances": len(instances),
            "in_force_p50_s": _quantile(in_force_s, 50),
            "in_force_p99_s": _quantile(in_force_s, 99),
            "in_force_max_s": max(in_force_s),
            "accepted_p50_s": _quantile(accepted_s, 50),
            "changes_per_s": rate,
            "cpu_ms_per_change_and_instance": _per_change(before, after, made, 0) * 1e3,
            "bytes_per_change_and_instance": _per_change(before, after, made, 1),
            "burst_in_force_s": await _async_burst(client, instances),
        }
        if len(control) > 1:
            result |= await _async_leader_loss(environment, session)
    return result


async def _async_one_by_one(
    client: ChangeClient, instances: Sequence[Instance], changes: int
) -> tuple[list[float], list[float]]:
    """Return the seconds from sending to in force everywhere, and to accepted."""
    in_force_s, accepted_s = [], []
    for number in range(changes):
        made = await client.async_change("rackhaven", float(number + 1))
        in_force_at = await client.async_in_force_at(made.revision, instances)
        in_force_s.append(in_force_at - made.sent_at)
        accepted_s.append(made.accepted_at - made.sent_at)
    return in_force_s, accepted_s


async def _async_rate(client: ChangeClient, rate_s: float) -> tuple[float, int]:
    started_at = time.monotonic()
    made = 0

    async def write(customer: str) -> None:
        nonlocal made
        marker = 1.0
        while time.monotonic() < started_at + rate_s:
            await client.async_change(customer, marker)
            marker += 1.0
            made += 1

    await asyncio.gather(*(write(f"customer-{n}") for n in range(WRITERS)))
    return made / (time.monotonic() - started_at), made


async def _async_burst(client: ChangeClient, instances: Sequence[Instance]) -> float:
    """Return the seconds until all of a burst of changes are in force everywhere."""
    started_at = time.monotonic()
    made = await _async_burst_changes(client)
    newest = max(item.revision for item in made)
    return await client.async_in_force_at(newest, instances) - started_at


async def _async_burst_changes(client: ChangeClient) -> list[ChangeTime]:
    changes = (client.async_change(f"burst-{n}", 1.0) for n in range(BURST))
    return await asyncio.gather(*changes)


async def _async_leader_loss(
    environment: Environment, session: aiohttp.ClientSession
) -> dict[str, Any]:
    """Kill the leader in the middle of a burst."""
    leader = environment.deployment[await asyncio.to_thread(environment.leader)]
    others = [item for item in environment.deployment.instances if item is not leader]
    control = [item for item in others if item.plan.is_control]
    client = ChangeClient(session, [*control, leader])
    started_at = time.monotonic()
    burst = asyncio.create_task(_async_burst_numbered(client))
    await asyncio.sleep(0.05)
    leader.process.kill()
    made = await burst
    newest = max(item.revision for item in made)
    in_force_at = await client.async_in_force_at(newest, others)
    revisions = {item.revision for item in made}
    return {
        "leader_loss_in_force_max_s": in_force_at - started_at,
        "leader_loss_accepted_max_s": max(i.accepted_at - i.sent_at for i in made),
        "leader_loss_attempts": client.attempts,
        "leader_loss_accepted": len(revisions),
        "leader_loss_sent": BURST,
    }


async def _async_burst_numbered(client: ChangeClient) -> list[ChangeTime]:
    changes = (client.async_change(f"loss-{n}", 1.0) for n in range(BURST))
    return await asyncio.gather(*changes)


def _measure_rest(rest_s: float) -> dict[str, Any]:
    """Measure what instances use when nothing happens."""
    with Environment(today()) as environment:
        environment.deployment.start()
        environment.apply_contract("rackhaven")
        time.sleep(SETTLE_S)
        instances = environment.deployment.instances
        before = [_usage(item) for item in instances]
        started_at = time.monotonic()
        time.sleep(rest_s)
        elapsed_s = time.monotonic() - started_at
        after = [_usage(item) for item in instances]
    usage = list(zip(instances, before, after, strict=True))
    return {
        "idle_cpu_percent": {
            item.id: PERCENT * (b[0] - a[0]) / elapsed_s for item, a, b in usage
        },
        "idle_bytes_per_s": {
            item.id: (b[1] - a[1]) / elapsed_s for item, a, b in usage
        },
        "idle_memory_mib": {item.id: b[2] / 2**20 for item, _, b in usage},
    }


def _usage(instance: Instance) -> tuple[float, float, float]:
    """Return processor seconds, bytes on streams and resident bytes so far."""
    metrics = instance.metrics()
    process = psutil.Process(instance.process.pid)
    cpu = process.cpu_times()
    sent = metrics.get("mothshunt_peer_bytes_sent", 0.0)
    received = metrics.get("mothshunt_peer_bytes_received", 0.0)
    return cpu.user + cpu.system, sent + received, process.memory_info().rss


def _per_change(
    before: list[tuple[float, float, float]],
    after: list[tuple[float, float, float]],
    made: int,
    place: int,
) -> float:
    used = [b[place] - a[place] for a, b in zip(before, after, strict=True)]
    return median(used) / max(1, made)


def _quantile(values: Sequence[float], percent: float) -> float:
    ordered = sorted(values)
    place = min(len(ordered) - 1, int(len(ordered) * percent / PERCENT))
    return ordered[place]
