"""Case 8: an order that was sent to a frozen machine is carried out once it wakes."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

from harness_2 import (
    ATTEMPT_ID,
    CONTROL_PORT,
    FRONTEND_PORT,
    CannotRunError,
    Deployment,
    Record,
    async_call,
    has_trouble,
    limits,
    patch,
    route,
    run,
    service,
)

ZONE = "zone-b"
BEGIN, FINISH = f"/-/Evacuate.Begin/{ZONE}", f"/-/Evacuate.Finish/{ZONE}"
#: The pages' bounds ``evacuate`` and ``stability_window``.
EVACUATE_S = 5.0
STABILITY_S = 3.0
#: Shorter than the longest freeze that the pages name, 4 s.
FREEZE_S = 1.5
#: Callers move on to another daemon after a second without a response.
ORDER_TIMEOUT_S = 1.0
JUDGED_S = 8.0
REQUESTS_PER_S = 20


async def async_send_reads(deployment: Deployment, record: Record) -> None:
    """Send reads to all entries in turn, until cancelled."""

    async def async_read(number: int) -> None:
        entry = deployment.entries[number % len(deployment.entries)]
        attempt = f"{number:016x}"
        answer = await async_call(
            (deployment.ip(entry), FRONTEND_PORT),
            "GET",
            f"/leny950/{number}",
            headers={
                "Host": "hulo84.example",
                ATTEMPT_ID: attempt,
                "Mothshunt-Deadline-Ms": "2500",
            },
            timeout_s=2.5,
        )
        record.write(f"read {attempt} at entry {entry}: {answer.status}", echo=False)

    tasks = set()
    number = 0
    while True:
        number += 1
        task = asyncio.create_task(async_read(number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def async_order(
    deployment: Deployment, record: Record, path: str, machines: list[int]
) -> float:
    """Send an order to one machine after another; return when it was acknowledged."""
    for machine in machines:
        address = (deployment.ip(machine), CONTROL_PORT)
        answer = await async_call(address, "POST", path, timeout_s=ORDER_TIMEOUT_S)
        record.write(
            f"{path} sent to control {machine}: {answer.status or 'no answer'}"
        )
        if answer.status == 200:
            return time.monotonic()
    raise CannotRunError(f"{path} was not acknowledged")


def find_leader(deployment: Deployment) -> int:
    """Return the control machine that leads, by what the machines log."""
    newest = (-1, -1)
    for machine in deployment.controls:
        for line in deployment.log(machine).read_text().splitlines():
            entry = json.loads(line) if line.startswith("{") else {}
            if entry.get("role") == "leader":
                newest = max(newest, (entry["term"], machine))
    if newest[1] < 0:
        raise CannotRunError("no leader is known")
    return newest[1]


def count_arrivals(deployment: Deployment, since: float) -> int:
    """Return the requests that servers of the zone ran since a time."""
    return sum(
        at >= since
        for server in deployment.servers
        if server.report_zone == ZONE
        for _, at in server.runs
    )


async def async_play(deployment: Deployment, record: Record) -> bool:
    """Play the case; return whether the rule held."""
    for machine in deployment.machines:
        deployment.start(machine, bootstrap=True)
    answer = await deployment.async_order(
        "POST",
        "/-/Configuration.Patch",
        patch(
            "hulo84.example",
            [route("r-u3fexd9", "/leny950/", 7, ["huvo11a"])],
            [service("huvo11a", 7)],
            limits=limits(7),
        ),
    )
    record.write(f"first call: {answer.status}")
    for _ in range(6):
        await deployment.async_add_server("huvo11a", 0.01)
    if not await deployment.async_until(deployment.async_all_ready, 20.0):
        raise CannotRunError("the entries did not become ready")
    reads = asyncio.create_task(async_send_reads(deployment, record))
    await asyncio.sleep(5.0)
    leader = find_leader(deployment)
    first, *others = [m for m in deployment.controls if m != leader]
    record.write(f"before: {count_arrivals(deployment, 0.0)} requests ran in {ZONE}")
    begun_at = await async_order(deployment, record, BEGIN, [first])
    await asyncio.sleep(EVACUATE_S + 2.0)
    late = count_arrivals(deployment, begun_at + EVACUATE_S)
    record.write(f"first evacuation: {late} requests ran in {ZONE} later than allowed")
    if late:
        return False
    frozen_at = time.monotonic()
    if has_trouble():
        record.write(f"control {first} freezes")
        deployment.signal(first, signal.SIGSTOP)
    await async_order(deployment, record, FINISH, [first, *others, leader])
    begun_at = await async_order(deployment, record, BEGIN, [*others, leader])
    if has_trouble():
        await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
        record.write(f"control {first} wakes")
        deployment.signal(first, signal.SIGCONT)
    judged_from = max(begun_at + EVACUATE_S, time.monotonic() + STABILITY_S)
    await asyncio.sleep(judged_from + JUDGED_S - time.monotonic())
    late = count_arrivals(deployment, judged_from)
    reads.cancel()
    deployment.write_runs(record)
    record.write(
        f"second evacuation, acknowledged and not taken back: {late} requests ran in "
        f"{ZONE} later than `evacuate` after it, by machines in touch"
    )
    return late == 0


async def async_scenario(record: Record) -> bool:
    """Play the case on a deployment of its own."""
    deployment = Deployment(controls=3, entries=3)
    try:
        return await async_play(deployment, record)
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(run(Path(__file__).parent, async_scenario, 110.0))
