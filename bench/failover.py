"""Time without service after losses, for look-ups, reads and bookings.

Streams between instances of different regions have Rackhaven's round-trip time.

The baseline in the same run are callers that know the entries of their region from
a fixed list in place of look-ups; everything else is the same.
"""

import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from bench.probes import Probe, Prober
from testkit.deployment import Instance
from testkit.environment import Environment
from testkit.profiles import RACKHAVEN, full_targets, thin_targets
from testkit.shape import RACKHAVEN_REGION_RTT_S, REGIONS, today

CUSTOMER = "rackhaven"
READ = "cabinet-status"
COMMIT = "site-access"
KINDS = ("lookup", "read", "booking")
LOST_REGION = REGIONS[0]
LOST_ZONE = f"{LOST_REGION}-a"
BEFORE_S = 1.5
QUICK_AFTER_S = 4.0
FULL_AFTER_S = 20.0

Chooser = Callable[[Environment], tuple[list[Instance], list[str]]]


def run(*, quick: bool) -> dict[str, Any]:
    """Return the seconds without service by loss and kind of request.

    :param quick: Whether to end within 45 s; then the losses that need an
        environment of their own are fewer.
    """
    after_s = QUICK_AFTER_S if quick else FULL_AFTER_S
    losses: dict[str, Chooser] = {
        "leader": _leader,
        "availability_zone": _zone,
        "region": _region,
    }
    if not quick:
        losses = {"instance": _instance, **losses}
    return {loss: _measure(choose, after_s) for loss, choose in losses.items()}


def _measure(choose: Chooser, after_s: float) -> dict[str, Any]:
    with Environment(
        today(), with_proxies=True, region_rtt_s=RACKHAVEN_REGION_RTT_S
    ) as environment:
        _set_up(environment)
        instances, targets = choose(environment)
        prober = _prober(environment, fixed_list=False)
        prober.start(REGIONS)
        fixed = _prober(environment, fixed_list=True)
        fixed.start(REGIONS)
        time.sleep(BEFORE_S)
        lost_at = time.monotonic()
        for instance in instances:
            instance.process.kill()
        for name in targets:
            environment.fleet.process_of(name).process.kill()
        time.sleep(after_s)
        until = time.monotonic()
        prober.stop()
        fixed.stop()
        lost_regions = {instance.plan.region for instance in instances}
        runs = environment.fleet.run_count_by_id()
        return {
            "lost_instances": len(instances),
            "lost_targets": len(targets),
            "without_service_s": _gaps(prober.probes, lost_regions, lost_at, until),
            "without_service_elsewhere_s": _gaps(
                prober.probes, set(REGIONS) - lost_regions, lost_at, until
            ),
            "undisturbed_s": _gaps(
                prober.probes, set(REGIONS), lost_at - BEFORE_S / 2, lost_at
            ),
            "baseline_fixed_list_s": _gaps(fixed.probes, lost_regions, lost_at, until),
            "unknown_outcomes": sum(probe.unknown for probe in prober.probes),
            "bookings_doubled": sum(
                runs[key] > 1 for key in prober.booked | fixed.booked
            ),
        }


def _set_up(environment: Environment) -> None:
    environment.deployment.start()
    environment.apply_contract(CUSTOMER)
    targets = [
        target
        for profile in RACKHAVEN
        if profile.service in (READ, COMMIT)
        for target in full_targets(profile)
    ]
    warm = [replace(target, cold_requests=0) for target in targets]
    zones = sorted({target.availability_zone for target in warm})
    environment.fleet.add_all(
        {zone: [t for t in warm if t.availability_zone == zone] for zone in zones}
    )
    environment.wait_targets_known(thin_targets(RACKHAVEN[0]))
    environment.wait_targets_known(thin_targets(RACKHAVEN[1]))


def _prober(environment: Environment, *, fixed_list: bool) -> Prober:
    return Prober(
        environment,
        customer=CUSTOMER,
        read=READ,
        commit=COMMIT,
        fixed_list=fixed_list,
    )


def _gaps(
    probes: Sequence[Probe], regions: set[str], since: float, until: float
) -> dict[str, float]:
    gaps = {
        kind: [
            probe.without_service_s(since, until)
            for probe in probes
            if probe.kind == kind and probe.region in regions
        ]
        for kind in KINDS
    }
    return {kind: round(max(values), 3) for kind, values in gaps.items() if values}


def _instance(environment: Environment) -> tuple[list[Instance], list[str]]:
    return [environment.deployment[f"{LOST_REGION}-2"]], []


def _leader(environment: Environment) -> tuple[list[Instance], list[str]]:
    return [environment.deployment[environment.leader()]], []


def _zone(environment: Environment) -> tuple[list[Instance], list[str]]:
    return _within(environment, "availability_zone", LOST_ZONE)


def _region(environment: Environment) -> tuple[list[Instance], list[str]]:
    return _within(environment, "region", LOST_REGION)


def _within(
    environment: Environment, name: str, value: str
) -> tuple[list[Instance], list[str]]:
    instances = [
        item
        for item in environment.deployment.instances
        if getattr(item.plan, name) == value
    ]
    targets = [
        target.target
        for target in environment.fleet.targets
        if getattr(target, name) == value
    ]
    return instances, targets
