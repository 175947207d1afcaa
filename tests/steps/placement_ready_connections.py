"""Steps for connections that are kept ready to targets of other regions."""

from behave import given, then, when

from tests.support.placement_world import SERVICE, placement, target

NOW = 1.0


@given(
    "{near:d} targets in the own region and {far:d} in others,"
    " of up to {limit:d} connections"
)
def targets(context, near, far, limit):
    own = [target(number, 4) for number in range(near)]
    others = [target(number, 4, "south-a", "south") for number in range(far)]
    context.limit = limit
    context.placement = placement([*own, *others])


@when("one target of another region is down and another one cold")
def down_and_cold(context):
    load_by_target = context.placement.load_by_target
    load_by_target["south-a-0"].down_until = NOW + 1.0
    load_by_target["south-a-1"].cold_until = NOW + 1.0


@when(
    "answers take {near_ms:d} ms, and {far_ms:d} ms from other regions, of"
    " {latency_ms:d} ms that are wanted"
)
def answers_take(context, near_ms, far_ms, latency_ms):
    for targets in context.placement._targets_by_service.values():
        targets.spread.learn(near_ms / 1000, is_far=False)
        targets.spread.learn(far_ms / 1000, is_far=True)
        targets.spread.ask(latency_ms / 1000)
        targets.spread.follow(has_traffic=True)


@when("answers from other regions come too late")
def too_late(context):
    for targets in context.placement._targets_by_service.values():
        targets.spread.part = 0.0


@when(
    "callers ask for the service {per_s:g} times a second at each of {entries:d}"
    " entries"
)
def ask(context, per_s, entries):
    context.ready = list(
        context.placement.frequent_far_targets(
            {SERVICE: per_s}, {SERVICE: context.limit}, entries, NOW
        )
    )


@then("a connection is kept ready to {count:d} targets, none in the own region")
def kept_ready(context, count):
    assert len(context.ready) == count, context.ready
    assert all(target.region != "north" for target in context.ready)
