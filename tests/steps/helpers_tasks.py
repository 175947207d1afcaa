"""Steps for background tasks."""

import asyncio

from behave import given, then, when
from behave.api.async_step import async_run_until_complete

from mothshunt.helpers import tasks

WAIT_S = 10.0


@given("a background task that fails in its first turn")
def failing_task(context):
    context.turns = 0


@when("it is run for two turns")
@async_run_until_complete
async def two_turns(context):
    done = asyncio.Event()

    async def turn():
        context.turns += 1
        if context.turns == 1:
            raise ValueError("the first turn")
        done.set()
        await asyncio.sleep(WAIT_S)

    task = tasks.start_background("test", turn)
    await asyncio.wait_for(done.wait(), WAIT_S)
    await tasks.async_cancel(task)


@then("it ran twice")
def ran_twice(context):
    assert context.turns == 2, context.turns


@given("a background task that waits")
def waiting_task(context):
    context.turns = 0


@when("it is cancelled")
@async_run_until_complete
async def cancelled(context):
    task = tasks.start_background("test", lambda: asyncio.sleep(WAIT_S))
    await asyncio.sleep(0)
    await tasks.async_cancel(task)
    context.task = task


@then("it has ended")
def has_ended(context):
    assert context.task.done()
