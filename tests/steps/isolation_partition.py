"""Steps for entry instances that are partitioned from all targets."""

import time
from collections import Counter

from behave import given, then, when

from testkit.target_proxies import Manner
from tests.support.isolation_deployment import IsolationDeployment

STABLE_AFTER_S = 4.0
MIN_SHARE = 2 / 3
LINKS = 'the links of "{names}" to all targets {manner} for {span_s:d} s'


def split(names):
    return [name.strip() for name in names.split(",")]


@given("a deployment of four entry instances whose links to targets can be partitioned")
def deployment(context):
    context.world = IsolationDeployment(context.stack)


@when(LINKS)
def partition(context, names, manner, span_s):
    context.world.run_partition(split(names), Manner(manner), span_s)


@when(LINKS + ", with version {version:d} of the routes")
def partition_with_change(context, names, manner, span_s, version):
    world = context.world
    world.run_partition(
        split(names), Manner(manner), span_s, lambda: world.apply_routes(version)
    )


@when(LINKS + ", with a stop after {stop_s:d} s")
def partition_with_stop(context, names, manner, span_s, stop_s):
    def stop():
        time.sleep(stop_s)
        for name in split(names):
            context.world.routed.deployment[name].process.terminate()

    context.world.run_partition(split(names), Manner(manner), span_s, stop)


@then('from 4 s on "{names}" served at least two thirds of what the others served')
def served(context, names):
    share_by_entry = context.world.shares(STABLE_AFTER_S)
    isolated = split(names)
    others = [share for n, share in share_by_entry.items() if n not in isolated]
    bound = MIN_SHARE * sum(others) / len(others)
    print(f"served from {STABLE_AFTER_S} s on: {share_by_entry}")
    for name in isolated:
        assert share_by_entry[name] >= bound, (name, share_by_entry)


@then("every entry instance served at least two thirds of the attempts after it")
def served_after(context):
    share_by_entry = context.world.recovery_shares()
    print(f"served after the partition: {share_by_entry}")
    assert min(share_by_entry.values()) >= MIN_SHARE, share_by_entry


@then('"{name}" found itself isolated {count:d} time')
@then('"{name}" found itself isolated {count:d} times')
def isolated_times(context, name, count):
    instance = context.world.routed.deployment[name]
    found = instance.metrics().get("mothshunt_isolation_begun_total", 0)
    assert found == count, found


@then("every entry instance is soon named to callers")
def named(context):
    context.world.wait_all_named()


@then('"{name}" answers "{path}" with {status:d}')
def answers(context, name, path, status):
    found = context.world.get(name, path)
    assert found == status, found


@then('no connection to "{name}" was closed with a request in flight')
def none_closed(context, name):
    closed = context.world.closed_in_flight(name)
    assert not closed, closed


@then("no order ran twice, and none that was answered not run ran at all")
def orders(context):
    runs_by_order = Counter(context.world.orders_run())
    twice = [order for order, count in runs_by_order.items() if count > 1]
    assert not twice, twice
    false = [o for o in context.world.orders_answered_not_run() if runs_by_order[o]]
    assert not false, false
    assert runs_by_order, "no order ran"
