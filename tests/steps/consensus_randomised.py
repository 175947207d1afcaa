"""Steps for pure nodes under faults that hypothesis draws."""

from behave import then, when

from tests.support.consensus_machine import run_examples
from tests.support.consensus_world import World

#: Seed of a world, and the delays and instances whose disks are lost in turn. A learner
#: takes over the membership that names it, which a check took for a founding.
ONCE_FAILED = (
    (
        57590,
        "137a 210c 9a 227d 172b 196a 167b 16d 147a 25a 182d 155c 107a",
    ),
    (57590, "137a 210c 10a 228e 173b 196a 167b 147a 183e 16e 52a 157c"),
)


@when("hypothesis draws {count:d} examples of up to {rules:d} faults for pure nodes")
def draw_examples(context, count, rules):
    print("seed: derandomized by hypothesis, the same examples every time")
    context.totals = run_examples(count, rules)
    print(context.totals)


@then("at least {count:d} steps kept every promise, with lost disks among the faults")
def steps_done(context, count):
    totals = context.totals
    assert totals.steps >= count, totals
    assert totals.disks_lost > 0, totals
    assert totals.accepted > 0, totals


@then("the sequences of faults that once failed keep every promise")
def once_failed(context):
    for seed, sequence in ONCE_FAILED:
        world = World(seed)
        world.run(300)
        for step in sequence.split():
            delay, name = int(step[:-1]), step[-1]
            world.lose_disk(name)
            world.run(delay)
            world.start(name)
        world.heal()
