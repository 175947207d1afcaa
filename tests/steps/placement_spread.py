"""Steps on objects that have one target in the whole deployment."""

from collections import Counter
from random import Random

from behave import given, then, when

from mothshunt.placement import const
from mothshunt.placement.model import AttemptOutcome
from mothshunt.placement.spread import GlobalAffinity
from mothshunt.placement.state import Placement
from mothshunt.placement.target_load import TargetLoad
from tests.support import placement_world as world

KNOWN_S = 0.05
DEMAND = {world.SERVICE: {"north-a": 10.0, "centre-a": 10.0, "south-a": 10.0}}
REGION_BY_ZONE = {"north-a": "north", "centre-a": "centre", "south-a": "south"}


@given(
    'entry instances in "{regions}" and {count:d} targets of {slots:d} slots in each'
)
def equal_regions(context, regions, count, slots):
    build(context, {region: count for region in regions.split(", ")}, slots)


@given(
    'entry instances in "{regions}" and {one:d}, {two:d} and {three:d} targets of '
    "{slots:d} slots there"
)
def unequal_regions(context, regions, one, two, three, slots):
    counts = dict(zip(regions.split(", "), (one, two, three), strict=True))
    build(context, counts, slots)


def build(context, count_by_region, slots):
    targets = [
        world.target(number, slots, f"{region}-a", region)
        for region, count in count_by_region.items()
        for number in range(count)
    ]
    context.targets = targets
    context.placement_by_region = {}
    for seed, region in enumerate(count_by_region):
        placement = Placement(
            zone=f"{region}-a",
            region=region,
            max_region_shift=0.15,
            renewal_interval_s=1.5,
            random=Random(seed),
        )
        use_targets(placement, targets)
        placement.adjust({}, REGION_BY_ZONE)
        context.placement_by_region[region] = placement


def use_targets(placement, targets):
    held = placement.load_by_target
    loads = [held.get(t.id) or TargetLoad(target=t, renewed_at=0.0) for t in targets]
    placement.replace_targets(loads, {})


def region_of(target_id):
    return target_id.partition("-")[0]


def chosen_by_all(context, key):
    placements = context.placement_by_region.values()
    return {world.chosen_id(placement, key) for placement in placements}


@then("all of them choose the same target for each of {count:d} objects")
def same_target(context, count):
    context.served = Counter()
    for number in range(count):
        chosen = chosen_by_all(context, f"object-{number}")
        assert len(chosen) == 1, (number, chosen)
        context.served[region_of(chosen.pop())] += 1


@then("each region serves {least:d} to {most:d} percent of the objects")
def each_region_serves(context, least, most):
    for region in context.placement_by_region:
        region_serves(context, region, least, most)


@then('region "{region}" serves {least:d} to {most:d} percent of the objects')
def region_serves(context, region, least, most):
    percent = 100 * context.served[region] / context.served.total()
    assert least <= percent <= most, context.served


@then("{count:d} requests without an object stay in the region of the instance")
def without_object(context, count):
    for region, placement in context.placement_by_region.items():
        for _ in range(count):
            assert region_of(world.chosen_id(placement, None)) == region


@when("a target is removed")
def target_removed(context):
    placement = context.placement_by_region["north"]
    keys = [f"object-{number}" for number in range(300)]
    context.before = {key: world.chosen_id(placement, key) for key in keys}
    context.removed_id = context.targets[0].id
    use_targets(placement, context.targets[1:])


@then("each object of another target is served where it was before")
def same_target_as_before(context):
    placement = context.placement_by_region["north"]
    assert context.removed_id in context.before.values()
    for key, before in context.before.items():
        after = world.chosen_id(placement, key)
        assert after == before or before == context.removed_id, (key, before, after)


@when(
    "responses from other regions take {longer_ms:d} ms longer at a target latency of "
    "{latency_ms:d} ms, for {seconds:d} s"
)
def other_regions_slow(context, longer_ms, latency_ms, seconds):
    placement = context.placement_by_region["north"]
    context.returned_after_s = None
    for step in range(round(seconds / const.ADJUST_INTERVAL_S)):
        now = step * const.ADJUST_INTERVAL_S
        remote = 0
        for number in range(60):
            key = f"object-{number}"
            request = world.request(key, latency_s=latency_ms / 1000)
            choice = placement.choose(request, now).ok
            is_remote = choice.target.region != "north"
            remote += is_remote
            took_s = KNOWN_S + (longer_ms / 1000 if is_remote else 0.0)
            placement.finish(choice, AttemptOutcome.ANSWERED, None, now + took_s)
        if not remote and context.returned_after_s is None:
            context.returned_after_s = now
        placement.adjust(DEMAND, REGION_BY_ZONE)


@then('no object of the entry instance in "{region}" goes to another region')
def all_stay_in_region(context, region):
    placement = context.placement_by_region[region]
    for number in range(60):
        chosen = world.chosen_id(placement, f"object-{number}", 100.0)
        assert region_of(chosen) == region, chosen


@then("the last of them returned after {seconds:d} s or more")
def returned_slowly(context, seconds):
    assert context.returned_after_s >= seconds, context.returned_after_s


@then('with home region "{region}" all objects are served there')
def home_region_kept(context, region):
    placement = context.placement_by_region["north"]
    for number in range(50):
        chosen = world.chosen_id(placement, f"object-{number}", homes=[region])
        assert region_of(chosen) == region, chosen


@then(
    "{count:d} random sequences of delays and target latencies never move more than "
    "{limit:g} of the objects"
)
def shift_is_bounded(context, count, limit):
    steps = round(const.SHIFT_WINDOW_S / const.ADJUST_INTERVAL_S)
    for seed in range(count):
        random = Random(seed)
        affinity = GlobalAffinity(limit)
        shares = []
        for _ in range(steps * 12):
            affinity.record_response(random.uniform(0.05, 0.1), is_remote=False)
            affinity.record_response(random.uniform(0.05, 0.6), is_remote=True)
            affinity.record_target_latency(random.choice([0.01, 0.1, 1.0]))
            affinity.adjust(has_traffic=True)
            shares.append(affinity.share)
        for start in range(len(shares) - 2 * steps + 1):
            first = sum(shares[start : start + steps]) / steps
            second = sum(shares[start + steps : start + 2 * steps]) / steps
            assert abs(second - first) <= limit, (seed, first, second)


@then("global affinity is adjusted after a request without time left")
def late_request(context):
    affinity = GlobalAffinity(0.15, min_remote_s=0.1, min_local_s=0.03)
    affinity.record_target_latency(0.25)
    affinity.record_target_latency(0.0)
    affinity.adjust(has_traffic=True)
    assert affinity.is_remote_delay_noticeable()
    assert affinity.share == 1.0, affinity.share
