"""Steps for changes of the configuration behind slow links."""

import asyncio

from behave import given, then, when

from tests.support.slow_links import SlowLinkWorld


def run(context, work):
    return context.loop.run_until_complete(work)


@given(
    "{controls:d} control instances and {entries:d} entry instances behind links of"
    " {bytes_per_s:d} bytes a second"
)
def slow_links(context, controls, entries, bytes_per_s):
    context.loop = asyncio.new_event_loop()
    context.stack.callback(context.loop.close)
    context.world = SlowLinkWorld()
    context.stack.callback(lambda: run(context, context.world.async_stop()))
    run(context, context.world.async_start(controls, entries, bytes_per_s))


@when("{count:d} routes are added in one change")
def routes_are_added(context, count):
    context.world.add_routes(count)


@when("1 route is added in each of {count:d} changes, {gap_s:g} s apart")
def routes_follow(context, count, gap_s):
    for _ in range(count):
        run(context, asyncio.sleep(gap_s))
        context.world.add_routes(1)


@then("all entry instances have them in force within {bound_s:g} s")
def in_force(context, bound_s):
    run(context, context.world.async_wait_until_in_force(bound_s))


@then("no stream was closed as silent")
def none_silent(context):
    silent = {
        network.own_id: network.metrics.counter_value(
            "mothshunt_peer_closed_total", reason="peer_silent"
        )
        for network in context.world.networks
    }
    assert not any(silent.values()), silent


@then("each link has carried less than {bound:d} bytes")
def link_carried(context, bound):
    for entry, proxies in context.world.proxies_by_entry.items():
        carried = sum(proxy.stats.bytes_to_client for proxy in proxies)
        assert carried < bound, (entry, carried)
