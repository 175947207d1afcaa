"""Drain times: the last new request on what leaves, and requests that were cut off.

The baseline in the same run is a target that is ended without a word.
"""

import time
from dataclasses import replace
from typing import Any

from testkit.environment import Environment
from testkit.load import LoadPlan, LoadReport, RequestKind
from testkit.profiles import RACKHAVEN, full_targets
from testkit.request import Outcome
from testkit.running_load import RunningLoad
from testkit.shape import REGIONS, today

CUSTOMER = "rackhaven"
READ = "cabinet-status"
COMMIT = "site-access"
RATE_PER_S = 150.0
SERVICE_MS = 100
LEAVING_ZONE = "north-b"
LEAVING_ENTRY = "centre-2"
DRAINED_TARGET = f"{READ}-north-a1"
STOPPED_PROCESS = "south-a"
KILLED_PROCESS = "south-b"
QUICK_WATCH_S = 3.0
FULL_WATCH_S = 10.0
END_S = 60.0


def run(*, quick: bool) -> dict[str, Any]:
    """Return what each kind of leaving takes and costs.

    :param quick: Whether to end within 45 s.
    """
    watch_s = QUICK_WATCH_S if quick else FULL_WATCH_S
    with Environment(today()) as environment:
        _set_up(environment)
        return {
            "target": _drain(environment, watch_s, "target", DRAINED_TARGET),
            "availability_zone": _drain(
                environment, watch_s, "availability_zone", LEAVING_ZONE
            ),
            "target_by_sigterm": _stop_targets(environment, watch_s),
            "entry": _stop_entry(environment),
            "baseline_target_killed": _kill_targets(environment, watch_s),
        }


def _set_up(environment: Environment) -> None:
    environment.deployment.start()
    environment.apply_contract(CUSTOMER)
    targets = [
        replace(target, cold_requests=0, service_time_ms=SERVICE_MS)
        for profile in RACKHAVEN
        if profile.service in (READ, COMMIT)
        for target in full_targets(profile)
    ]
    zones = sorted({target.availability_zone for target in targets})
    environment.fleet.add_all(
        {zone: [t for t in targets if t.availability_zone == zone] for zone in zones}
    )
    environment.wait_targets_known(targets)


def _start_load(environment: Environment) -> RunningLoad:
    kinds = (
        RequestKind(service=READ),
        RequestKind(service=COMMIT, method="POST", with_key=True),
    )
    callers = [
        environment.caller(CUSTOMER, region, number)
        for number in range(4)
        for region in REGIONS
    ]
    load = environment.start_load(LoadPlan(kinds=kinds, rate_per_s=RATE_PER_S), callers)
    time.sleep(1.0)
    return load


def _drain(
    environment: Environment, watch_s: float, kind: str, name: str
) -> dict[str, Any]:
    load = _start_load(environment)
    leaving_at = time.time()
    reply = environment.operator().put_drain(kind, name)
    assert reply.is_accepted, reply
    time.sleep(watch_s)
    report = load.stop()
    field = "target" if kind == "target" else kind
    names = [
        target.target
        for target in environment.fleet.targets
        if getattr(target, field) == name
    ]
    result = _result(environment, report, names, leaving_at)
    environment.operator().delete_drain(kind, name, base_revision=reply.revision)
    return result


def _stop_targets(environment: Environment, watch_s: float) -> dict[str, Any]:
    load = _start_load(environment)
    process = environment.fleet.process_by_name[STOPPED_PROCESS]
    leaving_at = time.time()
    process.process.terminate()
    process.process.wait(END_S)
    ended_s = time.time() - leaving_at
    time.sleep(watch_s / 3)
    report = load.stop()
    names = [target.target for target in process.targets]
    return _result(environment, report, names, leaving_at) | {"ended_s": ended_s}


def _kill_targets(environment: Environment, watch_s: float) -> dict[str, Any]:
    load = _start_load(environment)
    process = environment.fleet.process_by_name[KILLED_PROCESS]
    leaving_at = time.time()
    process.process.kill()
    time.sleep(watch_s)
    report = load.stop()
    names = [target.target for target in process.targets]
    return _result(environment, report, names, leaving_at)


def _stop_entry(environment: Environment) -> dict[str, Any]:
    load = _start_load(environment)
    instance = environment.deployment[LEAVING_ENTRY]
    leaving_at = time.time()
    leaving_monotonic = time.monotonic()
    instance.process.terminate()
    instance.process.wait(END_S)
    ended_s = time.time() - leaving_at
    time.sleep(1.0)
    report = load.stop()
    last_s = max(
        (
            result.started_at - leaving_monotonic
            for result in report.results
            if result.entry == instance.traffic_url
        ),
        default=0.0,
    )
    return _counts(environment, report) | {
        "last_new_request_s": max(0.0, last_s),
        "ended_s": ended_s,
    }


def _result(
    environment: Environment, report: LoadReport, names: list[str], leaving_at: float
) -> dict[str, Any]:
    starts = [
        run["started_at_unix"] - leaving_at
        for name in names
        for run in environment.fleet.runs(name)
    ]
    after = [start for start in starts if start > 0]
    return _counts(environment, report) | {
        "last_new_request_s": max(after, default=0.0),
        "new_requests_after": len(after),
        "new_requests_in_last_second": sum(-1 < start <= 0 for start in starts),
    }


def _counts(environment: Environment, report: LoadReport) -> dict[str, Any]:
    cut_off = (Outcome.BROKEN, Outcome.TIMED_OUT, Outcome.TARGET_ERROR)
    unknown = sum(result.ran == "unknown" for result in report.results)
    return {
        "requests": len(report.results),
        "whole": report.count(Outcome.WHOLE),
        "cut_off": sum(report.count(outcome) for outcome in cut_off) + unknown,
        "refused_by_code": report.refused_by_code(),
        "violations": len(environment.violations(report)),
        "p99_ms": report.quantile_ms(99),
    }
