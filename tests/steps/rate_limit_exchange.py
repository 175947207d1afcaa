"""Steps for the exchange of rate limits and tokens between instances."""

import asyncio

from behave import given, then, when

from mothshunt.rate_limit.model import RateLimitStatement
from tests.support.limit_exchange import LimitExchange

TIME_LEFT_S = 2.0


@given('a control instance, and the entry instances "{first}" and "{second}"')
def exchange(context, first, second):
    context.runner = context.stack.enter_context(asyncio.Runner())
    context.exchange = LimitExchange([first, second])
    context.runner.run(context.exchange.async_start([first, second]))
    context.stack.callback(
        lambda: context.runner.run(context.exchange.async_stop()),
    )


@given('a target "{name}" that both entry instances know')
def add_target(context, name):
    context.exchange.add_target(name)


def receive(context, entry, name, per_s):
    limiter = context.exchange.limiter_by_entry[entry]
    target = context.exchange.target_by_name[name]
    limiter.record_statement(target, RateLimitStatement(per_s=per_s))


@when('"{entry}" receives a response of "{name}" with a limit of {per_s:g} a second')
def receives(context, entry, name, per_s):
    receive(context, entry, name, per_s)


@when('"{entry}" receives a response of "{name}" without a limit')
def receives_none(context, entry, name):
    receive(context, entry, name, None)


@when("{seconds:g} s passes")
def passes(context, seconds):
    context.exchange.clock.now += seconds


@when('the entry instance "{entry}" restarts')
def restarts(context, entry):
    context.runner.run(context.exchange.limiter_by_entry[entry].async_stop())
    context.runner.run(context.exchange.async_start_entry(entry))


@when('"{name}" restarts, as all entry instances hear')
def target_restarts(context, name):
    context.exchange.restart_target(name)


@when("the control instance is cut off")
def cut_off(context):
    context.exchange.is_cut = True


def known(context, entry, name):
    target = context.exchange.target_by_name[name]
    return context.exchange.limiter_by_entry[entry].limit_per_s(target)


@then('"{first}" and "{second}" know a limit of {per_s:g} a second of "{name}"')
def both_know(context, first, second, per_s, name):
    found = [known(context, entry, name) for entry in (first, second)]
    assert found == [per_s, per_s], found


@then('"{entry}" knows a limit of {per_s:g} a second of "{name}"')
def knows(context, entry, per_s, name):
    assert known(context, entry, name) == per_s, known(context, entry, name)


@then('"{first}" and "{second}" know no limit of "{name}"')
def know_none(context, first, second, name):
    found = [known(context, entry, name) for entry in (first, second)]
    assert found == [None, None], found


def take_token(context, entry, choice, left_s=TIME_LEFT_S):
    limiter = context.exchange.limiter_by_entry[entry]
    return context.runner.run(limiter.async_take_token(choice, left_s))


@then('"{entry}" gets no token for "{name}"')
def no_token(context, entry, name):
    assert not take_token(context, entry, context.exchange.choose(name))


@then('"{entry}" gets no token for "{name}", after {seconds:g} s')
def no_token_after(context, entry, name, seconds):
    no_token_with(context, entry, name, TIME_LEFT_S, seconds)


@then(
    '"{entry}" gets no token for "{name}" with {left_s:g} s left, after {seconds:g} s'
)
def no_token_with(context, entry, name, left_s, seconds):
    began_at = context.exchange.clock.now
    assert not take_token(context, entry, context.exchange.choose(name), left_s)
    took_s = context.exchange.clock.now - began_at
    assert abs(took_s - seconds) < 1e-6, took_s


@then('"{entry}" may send to "{name}" without a token')
def may_send_freely(context, entry, name):
    choice = context.exchange.choose(name)
    limiter = context.exchange.limiter_by_entry[entry]
    assert limiter.may_send(choice, context.exchange.clock.now)


@when('"{entry}" chooses "{name}" for a request')
def chooses(context, entry, name):
    context.choice = context.exchange.choose(name)


@when('"{entry}" chooses "{name}" for a request and gets a token for it')
def chooses_with_token(context, entry, name):
    context.choice = context.exchange.choose(name)
    assert take_token(context, entry, context.choice)


@then('"{entry}" may send that request')
def may_send(context, entry):
    limiter = context.exchange.limiter_by_entry[entry]
    assert limiter.may_send(context.choice, context.exchange.clock.now)


@then('"{entry}" may not send that request')
def may_not_send(context, entry):
    limiter = context.exchange.limiter_by_entry[entry]
    assert not limiter.may_send(context.choice, context.exchange.clock.now)


@then(
    '"{first}" and "{second}" together get {least:d} to {most:d} tokens for "{name}"'
    " in {seconds:g} s"
)
def together_get(context, first, second, least, most, name, seconds):
    clock, count = context.exchange.clock, 0
    end = clock.now + seconds
    while clock.now < end:
        clock.now += 0.01
        for entry in (first, second):
            count += take_token(context, entry, context.exchange.choose(name))
    assert least <= count <= most, count


@when('"{name}" is removed, as all instances hear')
def removed(context, name):
    del context.exchange.target_by_name[name]


@then('{count:d} targets are limited at "{entry}" and at the control instance')
def limited_targets(context, count, entry):
    limiter, issuer = (
        context.exchange.limiter_by_entry[entry],
        context.exchange.tokens.issuer,
    )
    limiter.remove_unknown()
    issuer.remove_unknown(context.exchange.incarnation)
    found = [len(list(limits.limited())) for limits in (limiter.limits, issuer.limits)]
    assert found == [count, count], found
