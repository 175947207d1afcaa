"""Steps for capacities and shifts under load."""

import time

from behave import then, when

from testkit.load import RequestKind
from testkit.request import Outcome
from testkit.shape import REGIONS
from tests.steps.promise_requests import start_load
from tests.support import occupancy


def start_reads(context, rate, service_ms, regions):
    kind = RequestKind(
        service="cabinet-status",
        headers={"X-Test-Service-Ms": str(service_ms)},
        deadline_ms=2_000,
    )
    start_load(context, [kind], rate * len(regions), regions, callers_per_region=6)


@when("{rate:d} reads a second of {service_ms:d} ms arrive in each region")
def reads_everywhere(context, rate, service_ms):
    start_reads(context, rate, service_ms, REGIONS)


@when("{rate:d} reads a second of {service_ms:d} ms arrive in north")
def reads_in_north(context, rate, service_ms):
    start_reads(context, rate, service_ms, REGIONS[:1])


@when("{seconds:d} seconds pass")
def pass_by(context, seconds):
    time.sleep(seconds)


@when("the targets in {region} are killed")
def targets_killed(context, region):
    for process in processes_in(context, region):
        process.process.kill()


@when("the targets in {region} are started again")
def targets_started(context, region):
    for process in processes_in(context, region):
        process.start()


def processes_in(context, region):
    processes = context.env.fleet.process_by_name.values()
    return [item for item in processes if item.targets[0].region == region]


@when("all targets stop reporting their load")
def stop_reporting(context):
    for target in context.env.fleet.targets:
        context.env.fleet.behave(target.target, report_load=False)


@when(
    "the targets in {idle} claim that they are idle, "
    "and those in {full} that they are full"
)
def claim(context, idle, full):
    for target in context.env.fleet.targets:
        if target.region == idle:
            context.env.fleet.behave(target.target, load_lie={"in_flight": 0})
        if target.region == full:
            lie = {"in_flight": target.slots, "connections": 300}
            context.env.fleet.behave(target.target, load_lie=lie)


@then("no region ran over its capacity and no shift over its cap")
def within_limits(context):
    contract = context.env.operator().get_contract(context.customer).document
    limits = contract["contract"]
    runs = context.env.fleet.all_runs()
    region_by_target = {t.target: t.region for t in context.env.fleet.targets}
    entries = context.env.deployment.entry_instances
    region_by_url = {item.traffic_url: item.plan.region for item in entries}
    home_by_id = {
        result.request.request_id: region_by_url.get(result.entry)
        for result in context.report.results
    }

    def is_away(run):
        home = home_by_id.get(run["request_id"])
        return home is not None and home != region_by_target[run["target"]]

    for item in limits["regions"]:
        region = item["region"]
        most = occupancy.worst(
            runs, lambda run, r=region: region_by_target[run["target"]] == r
        )
        print(f"{region}: at most {most} of {item['capacity']} in flight")
        assert most <= item["capacity"], (region, most)
    shifted = occupancy.worst(runs, is_away)
    print(f"shifted: at most {shifted} of {limits['shift']['cap']}")
    assert shifted <= limits["shift"]["cap"], shifted


@then("at least {count:d} requests got a whole answer")
def enough_whole(context, count):
    whole = context.report.count(Outcome.WHOLE)
    counts = context.report.count_by_outcome(), context.report.refused_by_code()
    assert whole >= count, counts
