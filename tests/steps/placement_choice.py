"""Steps on the choice of targets."""

from random import Random

from behave import given, then, when

from mothshunt.placement.model import AttemptOutcome
from tests.support import placement_world as world

OBJECTS = [f"object-{number}" for number in range(200)]


@given(
    "{entries:d} entry instances and {count:d} targets of {slots:d} slots in their zone"
)
def entries_and_targets(context, entries, count, slots):
    context.targets = [world.target(number, slots) for number in range(count)]
    context.entries = entries
    build_placements(context)


def build_placements(context):
    context.placements = [
        world.placement(context.targets, seed=seed) for seed in range(context.entries)
    ]
    context.placement = context.placements[0]
    context.now = 0.0
    context.timing = {"took_s": 0.05, "latency_s": 0.25}


@given("{count:d} targets of {slots:d} slots in another region")
def other_region(context, count, slots):
    context.targets += [
        world.target(number, slots, "south-a", "south") for number in range(count)
    ]
    build_placements(context)


@given("{count:d} targets of {slots:d} slots in another zone of the region")
def other_zone(context, count, slots):
    context.targets += [
        world.target(number, slots, "north-b") for number in range(count)
    ]
    build_placements(context)
    for number, placement in enumerate(context.placements):
        placement.zone = ("north-a", "north-b")[number % 2]


@then("all entry instances choose the same target for each of {count:d} objects")
def same_target(context, count):
    context.chosen = {}
    for key in OBJECTS[:count]:
        ids = {world.chosen_id(p, key) for p in context.placements}
        assert len(ids) == 1, ids
        context.chosen[key] = ids.pop()


@then("the objects are distributed over all targets")
def distributed(context):
    counts = [
        sum(1 for chosen in context.chosen.values() if chosen == t.id)
        for t in context.targets
    ]
    assert min(counts) > len(OBJECTS) / len(counts) / 2, counts


@when("the target of most objects is removed")
def target_removed(context):
    context.before = {key: world.chosen_id(context.placement, key) for key in OBJECTS}
    ids = list(context.before.values())
    context.removed_id = max(set(ids), key=ids.count)
    context.targets = [t for t in context.targets if t.id != context.removed_id]
    build_placements(context)


@then("only its objects moved")
def only_its_objects(context):
    for key in OBJECTS:
        after = world.chosen_id(context.placement, key)
        if context.before[key] != context.removed_id:
            assert after == context.before[key], key


@when('{count:d} requests are pending at the target of object "{key}"')
def requests_pending(context, count, key):
    world.serve(context.placement, key, 0.0, 0.05)
    context.pending = [
        context.placement.choose(world.request(key), 0.0).ok for _ in range(count)
    ]
    context.first_target_id = context.pending[0].target.id


@when(
    "targets take {known_s:g} s for objects that they know "
    "and {unknown_s:g} s for others"
)
def targets_take(context, known_s, unknown_s):
    for load in context.placement.load_by_target.values():
        load.slowness = 1.0
        load.service_time.known_s = load.service_time.mean_s = known_s
        load.service_time.unknown_s = unknown_s


@then('the next request for "{key}" is sent')
def is_sent(context, key):
    assert context.placement.choose(world.request(key), 0.0).is_ok()


@then('the next request for "{key}" goes to the {which} target')
def next_goes(context, key, which):
    chosen = world.chosen_id(context.placement, key, context.now)
    assert (chosen == context.first_target_id) == (which == "same"), (
        chosen,
        context.first_target_id,
    )


@when("each target has {count:d} requests")
def all_busy(context, count):
    for load in context.placement.load_by_target.values():
        for _ in range(count):
            load.reserve(0.0, "test")


@then("the next request is refused with code {code:d}")
def refused(context, code):
    request = world.request("o")
    context.failure = context.placement.choose(request, 0.0).error
    assert context.failure.code.number == code, context.failure


@then("the retry time is between {least:g} and {most:g} s")
def retry_time(context, least, most):
    assert least <= context.failure.retry_after_s <= most, context.failure


@given("no object has global affinity")
def no_global_affinity(context):
    for targets in context.placement._targets_by_service.values():
        targets.global_affinity.share = 0.0


@then("no object goes to another region")
def all_stay_in_region(context):
    ids = {world.chosen_id(context.placement, key) for key in OBJECTS}
    assert all(chosen.startswith("north") for chosen in ids), ids


@then("every object goes to another region")
def all_go_to_other_region(context):
    ids = {world.chosen_id(context.placement, key) for key in OBJECTS}
    assert all(chosen.startswith("south") for chosen in ids), ids


@then('a request with home region "{region}" is refused with code {code:d}')
def home_refused(context, region, code):
    request = world.request("o", homes=[region])
    failure = context.placement.choose(request, 0.0).error
    assert failure.code.number == code, failure


@when("a connection to it fails at {now:g} s")
def connection_fails(context, now):
    choice = context.placement.choose(world.request("o"), now).ok
    context.placement.finish(choice, AttemptOutcome.CONNECT_FAILED, None, now)


@when("another target responds at its address at {now:g} s")
def misdirected(context, now):
    choice = context.placement.choose(world.request("o"), now).ok
    context.placement.finish(choice, AttemptOutcome.MISDIRECTED, None, now)


@then("it is not chosen at {now:g} s")
def not_chosen(context, now):
    assert context.placement.choose(world.request("o"), now).is_error()


@when("it renews its registration at {now:g} s")
@when("its renewal of {now:g} s arrives")
def renews(context, now):
    for load in context.placement.load_by_target.values():
        load.record_renewal(load.target, now, 0.0)


@then("it is chosen at {now:g} s")
def is_chosen(context, now):
    assert context.placement.choose(world.request("o"), now).is_ok()


@when('a request to the target of "{key}" has been pending for {seconds:g} s')
def has_been_pending(context, key, seconds):
    asked = world.request(key, latency_s=context.timing["latency_s"])
    context.first_target_id = context.placement.choose(asked, 0.0).ok.target.id
    context.now = seconds


@given("requests with a target latency of {latency_ms:d} ms")
def target_latency(context, latency_ms):
    context.timing["latency_s"] = latency_ms / 1000


@when('{count:d} requests for "{key}" fail at its target')
def requests_fail(context, count, key):
    context.first_target_id = None
    for number in range(count):
        now = number * 0.01
        choice = context.placement.choose(world.request(key), now).ok
        context.first_target_id = context.first_target_id or choice.target.id
        if choice.target.id != context.first_target_id:
            context.placement.finish(choice, AttemptOutcome.ANSWERED, None, now)
            continue
        context.placement.finish(choice, AttemptOutcome.ERROR_ANSWER, None, now)


@when('{count:d} requests for "{key}" are overtaken at its target')
def overtaken(context, count, key):
    overtake(context, count, key, answers_others=False)


@when(
    '{count:d} requests for "{key}" are overtaken at its target, which answers others'
    " meanwhile"
)
def overtaken_meanwhile(context, count, key):
    overtake(context, count, key, answers_others=True)


def overtake(context, count, key, *, answers_others):
    context.first_target_id = world.serve(context.placement, key, 0.0, 0.05).id
    for number in range(count):
        now = 0.1 + number * 0.01
        choice = context.placement.choose(world.request(key), now).ok
        if choice.target.id != context.first_target_id:
            context.placement.finish(choice, AttemptOutcome.ANSWERED, None, now)
            continue
        if answers_others:
            other = context.placement.choose(world.request(key), now).ok
            context.placement.finish(other, AttemptOutcome.ANSWERED, None, now + 0.005)
        context.placement.finish(choice, AttemptOutcome.OVERTAKEN, None, now + 0.01)
    context.now = now + 0.1


@when("all targets reject half of {count:d} requests while they have free slots")
def all_reject(context, count):
    for number in range(count):
        context.now = number * 0.01
        request = world.request(OBJECTS[number % 20])
        choice = context.placement.choose(request, context.now).ok
        is_shed = number // 20 % 2 == 0
        outcome = AttemptOutcome.SHED if is_shed else AttemptOutcome.ANSWERED
        report = world.idle_report(choice.target.slots)
        context.placement.finish(choice, outcome, report, context.now + 0.001)


@then("each object still goes to the target that knows it")
def goes_to_known(context):
    for key in OBJECTS[:20]:
        request = world.request(key)
        choice = context.placement.choose(request, context.now + 0.1).ok
        context.placement.finish(choice, AttemptOutcome.CANCELLED, None, context.now)
        assert choice.is_known, (key, choice)
        assert choice.reason == "all-0", (key, choice)


@then("at most {most:d} of {count:d} requests in a second go there")
def few_go_there(context, most, count):
    probes = 0
    for number in range(count):
        now = 10.0 + number / count
        choice = context.placement.choose(world.request("o"), now).ok
        probes += choice.target.id == context.first_target_id
        failed = choice.target.id == context.first_target_id
        outcome = AttemptOutcome.ERROR_ANSWER if failed else AttemptOutcome.ANSWERED
        context.placement.finish(choice, outcome, None, now)
    assert probes <= most, probes


@then(
    "{count:d} random sequences of requests and freezes keep the limit of a cold target"
)
def cold_limit_kept(context, count):
    worst = max(cold_limit_use(Random(seed)) for seed in range(count))
    print(f"worst: {worst:.2f} of the limit")


def cold_limit_use(random: Random) -> float:
    """Send without pause from entry instances that freeze; return the use of the limit.

    This is the highest number of requests in any second, as a share of the limit.
    """
    worst = 0.0
    per_s = random.uniform(10, 40)
    entries = random.randint(1, 8)
    cold = world.target(0, 50)
    limits = {cold.id: per_s}
    placements = [
        world.placement(
            [cold], seed=n, cold_limits=limits, cold_share=1 / entries, cold_until=1e9
        )
        for n in range(entries)
    ]
    frozen_until = [0.0] * entries
    sent: list[float] = []
    now = 0.0
    while now < 4.0:
        now += random.expovariate(200)
        index = random.randrange(entries)
        if random.random() < 0.01:
            frozen_until[index] = now + random.uniform(0.1, 2.0)
        if now < frozen_until[index]:
            continue
        result = placements[index].choose(world.request(str(random.random())), now)
        if result.is_ok():
            sent.append(now)
            responded_at = now + random.uniform(0, 0.3)
            placements[index].finish(
                result.ok, AttemptOutcome.ANSWERED, None, responded_at
            )
    for start in sent:
        in_window = sum(1 for at in sent if start <= at < start + 1.0)
        assert in_window <= per_s, (in_window, per_s, entries)
        worst = max(worst, in_window / per_s)
    return worst
