"""Steps for connections that are opened ahead of requests."""

import asyncio

from behave import then, when

BOUND_S = 5.0


def preconnect(context, name):
    world = context.world
    target = world.placement.state.load_by_target[name].target

    async def run():
        world.pool.preconnect([target])
        async with asyncio.timeout(BOUND_S):
            while world.pool._preconnect_by_target:
                await asyncio.sleep(0.01)

    context.runner.run(run())


@when('the entry preconnects to "{name}"')
def preconnects(context, name):
    preconnect(context, name)


@when('the entry preconnects to "{name}" {count:d} times')
def preconnects_repeatedly(context, name, count):
    for _ in range(count):
        preconnect(context, name)


@when("the idle connections of the routed entry have been idle for {seconds:g} s")
def idle_for(context, seconds):
    for idle in context.world.pool._idle_by_target.values():
        for connection in idle:
            connection.idle_since -= seconds


@then('"{name}" saw {count:d} connections')
def saw_connections(context, name, count):
    assert context.target_by_name[name].connections == count
