"""Steps for the founding of a log by a majority of the first instances."""

from behave import given, then, when

from mothshunt.consensus import founding
from tests.steps.consensus_coordinator import names_of
from tests.support.founding_world import FoundingWorld


@when("founders of {count:d} instances go through {worlds:d} worlds of {steps:d} steps")
def run_worlds(context, count, worlds, steps):
    context.chosen = context.lost = context.founded = 0
    for seed in range(worlds):
        world = FoundingWorld(seed, count)
        try:
            for _ in range(steps):
                world.step()
            context.founded += world.heal()
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error
        context.chosen += bool(world.chosen)
        context.lost += world.lost
    print(f"chosen {context.chosen}, lost {context.lost}, founded {context.founded}")


@then("no world chose two memberships, and folders were lost in some")
def chose_one(context):
    assert context.chosen > 0
    assert context.lost > 0
    assert context.founded > 0


@given('the instances "{names}" may found a log')
def may_found(context, names):
    context.initial = tuple(names_of(names))


@then('"{own}" proposes after {seconds:g} s while "{names}" answer, and not before')
def proposes_after(context, own, seconds, names):
    def is_due(waited_s):
        return founding.is_due(
            own=own,
            initial=context.initial,
            reachable=set(names_of(names)),
            waited_s=waited_s,
        )

    assert is_due(seconds)
    assert seconds == 0 or not is_due(seconds - 0.01)


@then('"{own}" never proposes while "{names}" answer')
def never_proposes(context, own, names):
    assert not founding.is_due(
        own=own,
        initial=context.initial,
        reachable=set(names_of(names)),
        waited_s=3600.0,
    )
