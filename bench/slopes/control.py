"""Cost of control against the number of instances: real control processes, stand-ins.

Three control instances run as processes of their own; all other instances are
stand-ins, many in one process: the control half of an entry instance, without HTTP.
Each stand-in has three targets announced to it, and all loads change all the time.
"""

import json
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import psutil

from bench.slopes.fit import Point, fit
from testkit.admin_client import Operator, new_change_id
from testkit.contracts import contract_document
from testkit.deployment import DEPLOYMENT_KEY, Deployment, Instance
from testkit.ports import HOST
from testkit.process import ManagedProcess, wait_until
from testkit.shape import REGIONS, ZONES_PER_REGION, InstancePlan

JOIN_TIMEOUT_S = 120.0
SETTLE_S = 3.0
PERCENT = 100.0
MEBIBYTE = 1024 * 1024
STAND_INS_PER_PROCESS = 64
ALONE = 9
IN_FORCE_TIMEOUT_S = 5.0
READY_LINES = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """Hold what a process has used so far.

    :param cpu_s: Processor time, in seconds.
    :param peer_bytes: Bytes sent and received on streams between instances.
    :param memory_bytes: Resident memory.
    """

    cpu_s: float
    peer_bytes: float
    memory_bytes: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AtRest:
    """Hold rates while nothing is changed.

    :param rates_by_control: Rates of each control instance, by name.
    :param stand_in_cpu_percent: Processor time of a stand-in.
    :param stand_in_bytes_per_s: Bytes that a stand-in sends and receives.
    """

    rates_by_control: dict[str, dict[str, float]]
    stand_in_cpu_percent: float
    stand_in_bytes_per_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """Hold what was measured at one size.

    :param stand_ins: Number of stand-ins.
    :param rest: Rates while nothing is changed.
    :param change_cpu_ms: Processor time of all control instances for a change.
    :param change_bytes: Bytes on streams of all control instances for a change.
    """

    stand_ins: int
    rest: AtRest
    change_cpu_ms: float
    change_bytes: float


def measure(quick: bool) -> dict[str, object]:
    """Return the slopes of control against the number of instances.

    :param quick: Whether to measure at smaller sizes and for a shorter time.
    """
    sizes = (6, 24, 48) if quick else (8, 64, 192, 384)
    rest_s = 3.0 if quick else 15.0
    changes = 5 if quick else 20
    samples = [_measure_at(size, rest_s, changes) for size in sizes]
    return {**_document(samples), "entry_alone": _measure_alone(rest_s)}


def _measure_alone(rest_s: float) -> dict[str, float]:
    """Measure stand-ins with a process each: what one entry spends on control."""
    with Deployment(_control_plans(), log_level="warning") as deployment:
        deployment.start()
        _apply(Operator(deployment.instances[0]), contract_document("rackhaven"), 0)
        stand_ins = _start_stand_ins(deployment, ALONE, per_process=1)
        time.sleep(SETTLE_S)
        rest = _at_rest(deployment, stand_ins, rest_s, ALONE)
        memory = [psutil.Process(p.pid).memory_info().rss for p in stand_ins]
        _stop(stand_ins)
    return {
        "instances": ALONE,
        "cpu_percent": rest.stand_in_cpu_percent,
        "bytes_per_s": rest.stand_in_bytes_per_s,
        "memory_mib": max(memory) / MEBIBYTE,
    }


def _document(samples: list[Sample]) -> dict[str, object]:
    def line(read: Any, unit: str) -> object:
        points = [Point(size=s.stand_ins, value=read(s)) for s in samples]
        return fit(points).document(unit)

    def busiest(name: str) -> Any:
        return lambda s: max(rates[name] for rates in s.rest.rates_by_control.values())

    def least(name: str) -> Any:
        return lambda s: min(rates[name] for rates in s.rest.rates_by_control.values())

    return {
        "leader_cpu_percent_per_instance": line(busiest("cpu_percent"), "%"),
        "follower_cpu_percent_per_instance": line(least("cpu_percent"), "%"),
        "leader_bytes_per_s_per_instance": line(busiest("bytes_per_s"), "B/s"),
        "follower_bytes_per_s_per_instance": line(least("bytes_per_s"), "B/s"),
        "control_memory_mib_per_instance": line(busiest("memory_mib"), "MiB"),
        "entry_cpu_percent_per_instance": line(
            lambda s: s.rest.stand_in_cpu_percent, "%"
        ),
        "entry_bytes_per_s_per_instance": line(
            lambda s: s.rest.stand_in_bytes_per_s, "B/s"
        ),
        "change_cpu_ms_per_instance": line(lambda s: s.change_cpu_ms, "ms"),
        "change_bytes_per_instance": line(lambda s: s.change_bytes, "B"),
        "rates_by_size": {str(s.stand_ins): s.rest.rates_by_control for s in samples},
    }


def _measure_at(size: int, rest_s: float, changes: int) -> Sample:
    with Deployment(_control_plans(), log_level="warning") as deployment:
        deployment.start()
        document = contract_document("rackhaven")
        operator = Operator(deployment.instances[0])
        revision = _apply(operator, document, 0)
        stand_ins = _start_stand_ins(deployment, size)
        try:
            time.sleep(SETTLE_S)
            rest = _at_rest(deployment, stand_ins, rest_s, size)
            cpu_ms, sent = _per_change(deployment, document, revision, changes, rest)
        finally:
            _stop(stand_ins)
    return Sample(
        stand_ins=size,
        rest=rest,
        change_cpu_ms=cpu_ms,
        change_bytes=sent,
    )


def _control_plans() -> tuple[InstancePlan, ...]:
    return tuple(
        InstancePlan(
            id=f"{region}-control",
            region=region,
            availability_zone=f"{region}-a",
            roles=("control",),
        )
        for region in REGIONS
    )


def _stop(stand_ins: list[ManagedProcess]) -> None:
    for process in stand_ins:
        process.terminate()
        process.wait(JOIN_TIMEOUT_S)


def _start_stand_ins(
    deployment: Deployment, size: int, per_process: int = STAND_INS_PER_PROCESS
) -> list[ManagedProcess]:
    paths = [_settings_path(deployment, number) for number in range(size)]
    processes = []
    for first in range(0, size, per_process):
        plan = deployment.folder / f"plan-{first}.json"
        chosen = paths[first : first + per_process]
        plan.write_text(json.dumps([str(path) for path in chosen]))
        process = ManagedProcess(
            name=f"stand-ins-{first}",
            module="bench.stand_ins",
            arguments=[str(plan)],
            log_path=deployment.folder / f"stand-ins-{first}.log",
        )
        process.start()
        processes.append(process)
    for process in processes:
        wait_until(
            lambda process=process: "ready" in process.log_tail(READY_LINES),
            JOIN_TIMEOUT_S,
            "all stand-ins have joined",
        )
    return processes


def _settings_path(deployment: Deployment, number: int) -> Path:
    region = REGIONS[number % len(REGIONS)]
    zone = ZONES_PER_REGION[number // len(REGIONS) % len(ZONES_PER_REGION)]
    settings = {
        "instance": {
            "id": f"{region}-stand-in-{number}",
            "region": region,
            "availability_zone": f"{region}-{zone}",
            "roles": ["entry"],
        },
        "listen": {
            name: {"host": HOST, "port": deployment.ports.take()}
            for name in ("traffic", "admin", "peer")
        },
        "control": [
            {"id": peer.id, "host": HOST, "port": peer.peer_port}
            for peer in deployment.control_instances
        ],
        "deployment_key": DEPLOYMENT_KEY,
    }
    path = deployment.folder / f"stand-in-{number}.json"
    path.write_text(json.dumps(settings))
    return path


def _at_rest(
    deployment: Deployment, stand_ins: list[ManagedProcess], rest_s: float, size: int
) -> AtRest:
    before = {item.id: _usage(item) for item in deployment.instances}
    cpu_before = sum(_cpu_s(process.pid) for process in stand_ins)
    bytes_before = sum(_stand_in_bytes(process) for process in stand_ins)
    time.sleep(rest_s)
    cpu_after = sum(_cpu_s(process.pid) for process in stand_ins)
    bytes_after = sum(_stand_in_bytes(process) for process in stand_ins)
    return AtRest(
        rates_by_control={
            item.id: _rates(before[item.id], _usage(item), rest_s)
            for item in deployment.instances
        },
        stand_in_cpu_percent=(cpu_after - cpu_before) / rest_s * PERCENT / size,
        stand_in_bytes_per_s=(bytes_after - bytes_before) / rest_s / size,
    )


def _stand_in_bytes(process: ManagedProcess) -> int:
    line = process.log_tail(1)
    return int(json.loads(line)["bytes"])


def _per_change(
    deployment: Deployment,
    document: dict[str, Any],
    revision: int,
    changes: int,
    rest: AtRest,
) -> tuple[float, float]:
    """Return processor time in ms and bytes of a change, the rest taken off."""
    operator = Operator(deployment.instances[0])
    before = [_usage(item) for item in deployment.instances]
    began = time.monotonic()
    for number in range(changes):
        document["lookup_lifetime_s"] = 1.0 + number / 10
        revision = _apply(operator, document, revision)
    wait_until(
        lambda: all(item.revision() >= revision for item in deployment.instances),
        IN_FORCE_TIMEOUT_S,
        "the last change is in force",
    )
    time.sleep(1.0)
    took_s = time.monotonic() - began
    after = [_usage(item) for item in deployment.instances]
    idle_cpu_s = (
        sum(r["cpu_percent"] for r in rest.rates_by_control.values()) / PERCENT * took_s
    )
    idle_bytes = sum(r["bytes_per_s"] for r in rest.rates_by_control.values()) * took_s
    cpu_s = sum(a.cpu_s - b.cpu_s for a, b in zip(after, before, strict=True))
    sent = sum(a.peer_bytes - b.peer_bytes for a, b in zip(after, before, strict=True))
    return (cpu_s - idle_cpu_s) * 1000 / changes, (sent - idle_bytes) / changes


def _apply(operator: Operator, document: dict[str, Any], revision: int) -> int:
    reply = operator.put_contract(
        document, base_revision=revision, change_id=new_change_id()
    )
    assert reply.is_accepted, reply
    return reply.revision


def _usage(instance: Instance) -> Usage:
    process = psutil.Process(instance.process.pid)
    metrics = instance.metrics()
    return Usage(
        cpu_s=_cpu_s(instance.process.pid),
        peer_bytes=metrics["mothshunt_peer_bytes_sent"]
        + metrics["mothshunt_peer_bytes_received"],
        memory_bytes=process.memory_info().rss,
    )


def _cpu_s(pid: int) -> float:
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def _rates(before: Usage, after: Usage, seconds: float) -> dict[str, float]:
    return {
        "cpu_percent": (after.cpu_s - before.cpu_s) / seconds * PERCENT,
        "bytes_per_s": (after.peer_bytes - before.peer_bytes) / seconds,
        "memory_mib": after.memory_bytes / MEBIBYTE,
    }
