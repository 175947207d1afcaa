"""Steps on connections that are kept ready to targets of other regions."""

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


@when("one target of another region is unreachable and another one cold")
def unreachable_and_cold(context):
    load_by_target = context.placement.load_by_target
    load_by_target["south-a-0"].down_until = NOW + 1.0
    load_by_target["south-a-1"].cold_until = NOW + 1.0


@when(
    "responses take {local_ms:d} ms, {remote_ms:d} ms from other regions, with a target"
    " latency of {latency_ms:d} ms"
)
def responses_take(context, local_ms, remote_ms, latency_ms):
    for targets in context.placement._targets_by_service.values():
        targets.global_affinity.record_response(local_ms / 1000, is_remote=False)
        targets.global_affinity.record_response(remote_ms / 1000, is_remote=True)
        targets.global_affinity.record_target_latency(latency_ms / 1000)
        targets.global_affinity.adjust(has_traffic=True)


@when("no object has global affinity any more")
def no_global_affinity(context):
    for targets in context.placement._targets_by_service.values():
        targets.global_affinity.share = 0.0


@when("callers send {per_s:g} requests a second to each of {entries:d} entry instances")
def ask(context, per_s, entries):
    context.ready = list(
        context.placement.frequent_remote_targets(
            {SERVICE: per_s}, {SERVICE: context.limit}, entries, NOW
        )
    )


@then("a connection is kept ready to {count:d} targets, none in the own region")
def kept_ready(context, count):
    assert len(context.ready) == count, context.ready
    assert all(target.region != "north" for target in context.ready)
