"""Steps for the detection of an isolation, in simulated time."""

from behave import given, then, when

from mothshunt.isolation import const
from tests.support.isolation_world import FAULTS, IsolationWorld

CALM_S = 10.0
AFTER_SUSPENSION_S = 5.0
PARTITION_S = 10.0
HOUR_S = 3600.0
BUSY_RUNS = 50
BUSY_PERIODS = 6
#: Step of the evidence by which gaps are counted, in nats.
STEP_NATS = 2.0


@given('attempts of an entry instance under the load "{load}"')
def load(context, load):
    context.load = load


def worlds(context, count):
    context.worlds = [IsolationWorld(context.load, seed) for seed in range(count)]
    for world in context.worlds:
        # The partition begins at any time between two requests.
        world.run(CALM_S + world.random.random())
        yield world


@when("all attempts {fault} from some time on, in {count:d} runs")
def partition(context, fault, count):
    context.times = []
    for world in worlds(context, count):
        began_at, world.fault = world.now, FAULTS[fault]
        world.drop_responses()
        world.run(PARTITION_S)
        found = [at - began_at for at in world.isolated_at if at >= began_at]
        context.times.append(min(found, default=PARTITION_S))


@then("each run finds the isolation within {bound_s:g} s")
def found_within(context, bound_s):
    times = sorted(context.times)
    late = sum(time > bound_s for time in times)
    print(f"median {times[len(times) // 2]:.2f} s, most {times[-1]:.2f} s, late {late}")
    assert not late, f"{late} of {len(times)}, the latest after {times[-1]:.2f} s"


@when("attempts {fault} for {span_s:g} s, in {count:d} runs")
def other_fault(context, fault, span_s, count):
    for world in worlds(context, count):
        world.fault = FAULTS[fault]
        world.run(span_s)


@when("all responses wait behind a large one for {busy_s:g} s of each {period_s:g} s")
def busy_link(context, busy_s, period_s):
    for world in worlds(context, BUSY_RUNS):
        for _ in range(BUSY_PERIODS):
            world.keep_link_busy(busy_s)
            world.run(period_s)


@when("a large response arrives while all attempts hang, and ends after {busy_s:g} s")
def cut_behind_large_response(context, busy_s):
    context.busy_s, context.times = busy_s, []
    for world in worlds(context, BUSY_RUNS):
        began_at, world.fault = world.now, FAULTS["hang"]
        world.drop_responses()
        world.keep_link_busy(busy_s)
        world.run(PARTITION_S)
        found = [at - began_at for at in world.isolated_at if at >= began_at]
        context.times.append(min(found, default=PARTITION_S))


@then("an isolation is found within {bound_s:g} s of its end, and not before")
def found_after_end(context, bound_s):
    after = [time - context.busy_s for time in context.times]
    assert min(after) > 0.0, min(after)
    assert max(after) <= bound_s, max(after)


@when("the process is suspended for {span_s:g} s, in {count:d} runs")
def suspended(context, span_s, count):
    for world in worlds(context, count):
        world.suspend(span_s)
        world.run(AFTER_SUSPENSION_S)


@when("it is calm for {hours:g} h")
def calm(context, hours):
    context.hours = hours
    (world,) = context.worlds = [IsolationWorld(context.load, 1)]
    world.run(hours * HOUR_S)


@then("no run finds an isolation")
def none_found(context):
    found = [world.isolated_at for world in context.worlds if world.isolated_at]
    attempts = sum(world.attempts for world in context.worlds)
    print(f"{attempts} attempts")
    assert not found, f"{len(found)} of {len(context.worlds)}: {found[:3]}"


@then("the evidence between responses tells of at most {count:d} alarm in {h:d} h")
def few_alarms(context, count, h):
    """Extrapolate: the number of gaps falls geometrically with their evidence.

    Evidence is the sum of independent logarithms of probabilities, so each further
    STEP_NATS is rarer by at least the same factor. It is taken between the first two
    steps, of which many are seen.
    """
    (world,) = context.worlds
    counts = [world.peaks_from(n * STEP_NATS) for n in range(1, 6)]
    factor = counts[1] / max(1, counts[0])
    further_steps = const.ISOLATED_NATS / STEP_NATS - 1
    alarms = counts[0] * factor**further_steps * h / context.hours
    print(f"gaps {counts}, factor {factor:.4f}, {alarms:.2g} alarms in {h} h")
    assert alarms <= count, f"{alarms:.3g} alarms in {h} h from {counts}"
