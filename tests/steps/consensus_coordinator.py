"""Steps for control instances that agree over streams of one process."""

from behave import given, then, when

from tests.support.consensus_net import Deployment

TIMEOUT_S = 15.0


def names_of(text):
    return [name.strip() for name in text.split(",") if name.strip()]


@given('a replicated log on "{names}"')
def replicated_log(context, names):
    context.log = Deployment(context.stack, names_of(names))
    for name in context.log.names:
        context.log.run(context.log.async_start(name))


def propose(context, name, text):
    coordinator = context.log.coordinator_by_id[name]
    result = context.log.run(coordinator.async_propose(text.encode(), TIMEOUT_S))
    assert result.is_ok(), (result, context.log.describe())
    assert result.ok == b"applied " + text.encode(), result.ok


@when('"{name}" proposes "{text}"')
def proposes(context, name, text):
    propose(context, name, text)


@when('a remaining control instance proposes "{text}"')
def remaining_proposes(context, text):
    propose(context, next(iter(context.log.coordinator_by_id)), text)


@when("the leader of the log is killed")
def leader_killed(context):
    log = context.log
    log.run(log.async_until(lambda: len(log.leaders()) == 1))
    context.killed = log.leaders()[0]
    log.run(log.async_kill(context.killed))


@when("the killed control instance starts again")
def killed_starts(context):
    context.log.run(context.log.async_start(context.killed))


@when("all control instances are killed and start again")
def all_restart(context):
    log = context.log
    log.run(log.async_stop_all())
    for name in log.names:
        log.run(log.async_start(name))


@then('every control instance has applied "{texts}"')
def all_applied(context, texts):
    log = context.log
    expected = [text.encode() for text in names_of(texts)]

    def is_done():
        return all(
            log.commands_by_id[name].commands == expected
            for name in log.coordinator_by_id
        )

    log.run(log.async_until(is_done))
