"""Steps for the tokens that permit requests to targets with a rate limit."""

from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import settings
from hypothesis import strategies as st

from mothshunt.rate_limit.model import RateLimit
from mothshunt.rate_limit.state import TokenIssuer
from mothshunt.util.tokens import TokenSources
from tests.support.token_world import (
    DISTURBANCES,
    LIMITS,
    MIN_PER_S,
    STEP_S,
    TARGET,
    WINDOW_S,
    TokenWorld,
)

#: Time after which all entry instances follow a limit, in seconds.
SETTLE_S = 2.0


@then(
    "for any cuts, freezes, restarts and changes of the limit, the target gets at most"
    " 1.5 times what it allows and 5 more"
)
def limit_kept(context):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @property_given(st.integers(0, 10**6), st.sampled_from(LIMITS), DISTURBANCES)
    def check(seed, per_s, disturbances):
        world = TokenWorld(seed, per_s)
        for verb, entry, control, steps in disturbances:
            world.disturb(verb, entry, control)
            for _ in range(steps):
                world.step()
                count = world.count(world.now - WINDOW_S, world.now)
                assert count <= world.allowed(world.now), (world.now, count)

    check()


@then(
    "without faults the target gets at least {share:g} times what the limit allows,"
    " from 8 entries and from 1"
)
def limit_used(context, share):
    for per_s in LIMITS[2:]:
        for entries in (8, 1):
            world = TokenWorld(1, per_s)
            del world.entries[entries:]
            if per_s > 20 and entries == 1:
                # One entry instance of this world does not want so many.
                continue
            while world.now < 30:
                world.step()
            count = world.count(10, 30)
            assert count >= share * per_s * 20, (per_s, entries, count)


@given("a token issuer with a share of {share:g}")
def issuer(context, share):
    context.issuer, context.share = TokenIssuer(MIN_PER_S), share


def learn(context, at, per_s):
    limit = RateLimit(incarnation=1, per_s=per_s, observed_at=at)
    context.issuer.record(TARGET, limit, context.share, at)


@when("it learns at {at:g} s of a limit of {per_s:g} a second")
def learns(context, at, per_s):
    learn(context, at, per_s)


@when("it learns at {at:g} s that the limit has ended")
def learns_end(context, at):
    learn(context, at, None)


def take(context, at):
    return context.issuer.take_token(TARGET, context.share, at)


def issued(context, seconds):
    times = [n * STEP_S for n in range(int(seconds / STEP_S) + 1)]
    return [at for at in times if take(context, at).is_granted]


@then("it issues {count:d} tokens in {seconds:g} s, the first at {first:g} s")
def issues(context, count, seconds, first):
    found = issued(context, seconds)
    assert len(found) == count, found
    assert abs(found[0] - first) <= STEP_S + 1e-9, found


@then("it issues {count:d} tokens in {seconds:g} s")
def issues_count(context, count, seconds):
    assert len(issued(context, seconds)) == count


def at_once(context, at):
    return sum(take(context, at).is_granted for _ in range(20))


@then("it issues {count:d} tokens at once at {at:g} s")
def issues_at_once(context, count, at):
    found = at_once(context, at)
    assert found == count, found


@then("it issues at most {count:d} tokens at once at {at:g} s")
def issues_at_most(context, count, at):
    found = at_once(context, at)
    assert 1 <= found <= count, found


@given('an entry instance with the control instances "{names}"')
def entry(context, names):
    context.sources, context.controls = TokenSources(), names.split(", ")


@when('"{control}" doesn\'t answer its token request at {at:g} s')
def silent(context, control, at):
    context.sources.record_silence(control, at)


@when('"{control}" denies it a token at {at:g} s until {retry_at:g} s')
def denies(context, control, at, retry_at):
    context.sources.record_denial(TARGET, control, retry_at)


@then('it asks "{control}" at {at:g} s')
def asks(context, control, at):
    found = context.sources.choose_control(TARGET, context.controls, at)
    assert found == control, found


@then("it asks none at {at:g} s")
def asks_none(context, at):
    found = context.sources.choose_control(TARGET, context.controls, at)
    assert found is None, found
