"""Steps for control instances that manage their membership by themselves."""

import asyncio
import shutil
from dataclasses import replace

from behave import given, then, when

from tests.steps.consensus_coordinator import names_of
from tests.support.consensus_net import CONFIG, Deployment

SELF_MANAGED = replace(
    CONFIG, max_voters=5, is_founded_by_majority=True, is_self_managed=True
)


@given('a self-managed log founded by "{seeds}" and joined by "{others}"')
def self_managed(context, seeds, others):
    context.seeds = names_of(seeds)
    names = [*context.seeds, *names_of(others)]
    context.log = Deployment(context.stack, names, SELF_MANAGED)
    for name in names:
        context.log.run(context.log.async_start(name, context.seeds))


@given('a self-managed log whose seeds are "{seeds}"')
def seeds_are(context, seeds):
    context.seeds = names_of(seeds)
    context.log = Deployment(context.stack, list(context.seeds), SELF_MANAGED)


@when('"{names}" of it start')
@when('"{names}" of it starts')
def of_it_start(context, names):
    for name in names_of(names):
        context.log.run(context.log.async_start(name, context.seeds))


@when('"{name}" ends and starts again, not at its first start any more')
def starts_again(context, name):
    log = context.log
    log.run(log.async_kill(name))
    log.run(log.async_start(name, context.seeds, may_found=False))


@when('"{gone}" ends and "{name}" loses its disk and starts again without founding')
def ends_and_loses_disk(context, gone, name):
    context.log.run(context.log.async_kill(gone))
    loses_disk(context, name)


@then('nothing is founded by "{names}" within {seconds:g} s')
def nothing_founded(context, names, seconds):
    log = context.log
    log.run(asyncio.sleep(seconds))
    for name in names_of(names):
        now = log.coordinator_by_id[name].status()
        assert now.leader is None, now
        assert not now.voters, now


def status(context):
    log = context.log
    leaders = log.leaders()
    return log.coordinator_by_id[leaders[0]].status() if len(leaders) == 1 else None


@then('the voters are "{names}" within {seconds:d} s')
def voters_are(context, names, seconds):
    def is_so():
        now = status(context)
        return now is not None and {v.id for v in now.voters} == set(names_of(names))

    context.log.run(context.log.async_until(is_so, seconds))


@then('"{name}" is a learner within {seconds:d} s')
def is_learner(context, name, seconds):
    def is_so():
        now = status(context)
        return now is not None and name in {v.id for v in now.learners}

    context.log.run(context.log.async_until(is_so, seconds))


@when('"{name}" loses its disk and starts again without founding')
def loses_disk(context, name):
    log = context.log
    log.run(log.async_kill(name))
    shutil.rmtree(log.folder / name)
    log.run(log.async_start(name, context.seeds, may_found=False))


@when('"{gone}" is gone and "{name}" starts')
def is_replaced(context, gone, name):
    log = context.log
    log.run(log.async_kill(gone))
    log.run(log.async_start(name, context.seeds, may_found=False))


@when('"{name}" starts')
def starts(context, name):
    context.log.run(context.log.async_start(name, context.seeds, may_found=False))


@then("every control instance has applied nothing else")
def applied_nothing(context):
    for commands in context.log.commands_by_id.values():
        assert commands.commands == [], commands.commands


@when("all end at once and start again")
def all_start_again(context):
    log = context.log
    log.run(log.async_stop_all())
    for name in log.names:
        log.run(log.async_start(name, context.seeds, may_found=False))


@then("there is a leader within {seconds:g} s")
def leader_within(context, seconds):
    log = context.log
    log.run(log.async_until(lambda: len(log.leaders()) == 1, seconds))
