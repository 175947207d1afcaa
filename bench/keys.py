"""Measure what an idempotency key costs a request, for both customers' latencies.

Real processes: three control instances, one a region, and a further entry instance;
their peer streams pass proxies that add the round-trip time between regions. The
same requests are sent through every entry with and without a key, in turns.
"""

import statistics
import time
import uuid
from dataclasses import dataclass
from typing import Any

from testkit.caller import Outcome, Request
from testkit.environment import Environment
from testkit.profiles import PROFILES_BY_CUSTOMER, thin_targets
from testkit.shape import (
    RACKHAVEN_REGION_RTT_S,
    SLEMAN_REGION_RTT_S,
    small_with_entry,
)

REQUESTS = 60
QUICK_REQUESTS = 10
PAUSE_S = 0.05
MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """Describe what is measured for one customer.

    :param customer: Customer.
    :param service: Service whose requests may not be repeated.
    :param path: Path of such a request.
    :param region_rtt_s: Round-trip time between regions.
    """

    customer: str
    service: str
    path: str
    region_rtt_s: float


CASES = (
    Case(
        customer="rackhaven",
        service="site-access",
        path="/bookings",
        region_rtt_s=RACKHAVEN_REGION_RTT_S,
    ),
    Case(
        customer="sleman",
        service="tray-reservation",
        path="/reservations",
        region_rtt_s=SLEMAN_REGION_RTT_S,
    ),
)


def run(quick: bool) -> dict[str, Any]:
    """Run the benchmark.

    :param quick: Whether to run short.
    """
    count = QUICK_REQUESTS if quick else REQUESTS
    return {case.customer: _measure(case, count) for case in CASES}


def _measure(case: Case, count: int) -> dict[str, Any]:
    profiles = PROFILES_BY_CUSTOMER[case.customer]
    profile = next(item for item in profiles if item.service == case.service)
    targets = thin_targets(profile)
    with Environment(
        small_with_entry(), with_proxies=True, region_rtt_s=case.region_rtt_s
    ) as environment:
        environment.deployment.start()
        environment.apply_contract(case.customer)
        environment.fleet.add(case.customer, targets)
        environment.wait_targets_known(targets)
        leader = environment.leader()
        return {
            "region_rtt_ms": case.region_rtt_s * MILLISECONDS_PER_SECOND,
            "leader": leader,
            "by_entry": {
                instance.id: _entry_figures(environment, case, instance, count)
                for instance in environment.deployment.entry_instances
            },
        }


def _entry_figures(
    environment: Environment, case: Case, instance: Any, count: int
) -> dict[str, Any]:
    latencies_ms: dict[bool, list[float]] = {True: [], False: []}
    refused = 0
    caller = environment.caller(case.customer, instance.plan.region)
    for _ in range(count):
        for keyed in (False, True):
            name = uuid.uuid4().hex
            request = Request(
                request_id=name,
                service=case.service,
                method="POST",
                path=case.path,
                key=name if keyed else None,
                body=b"one",
            )
            started_at = time.monotonic()
            result = environment.submit(
                caller.async_send_to(environment.entry(instance), request)
            ).result()
            took_s = time.monotonic() - started_at
            if result.outcome is Outcome.WHOLE:
                latencies_ms[keyed].append(took_s * MILLISECONDS_PER_SECOND)
            else:
                refused += 1
            time.sleep(PAUSE_S)
    plain = _quantiles(latencies_ms[False])
    keyed_figures = _quantiles(latencies_ms[True])
    return {
        "without_key": plain,
        "with_key": keyed_figures,
        "added_p50_ms": round(keyed_figures["p50_ms"] - plain["p50_ms"], 2),
        "refused": refused,
    }


def _quantiles(latencies_ms: list[float]) -> dict[str, float]:
    ordered = sorted(latencies_ms)
    return {
        "p50_ms": round(statistics.median(ordered), 2),
        "p90_ms": round(ordered[int(0.9 * len(ordered))], 2),
        "max_ms": round(ordered[-1], 2),
    }
