"""Steps for the emulator of load."""

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from bench.load import SCENARIOS
from bench.load.bound import worth_bound
from bench.load.deciders import DECIDERS
from bench.load.scenario import BadScenarioError, read_scenario
from bench.load.world import World

REPOSITORY = Path(__file__).parents[2]
CHANGES = {
    "a kind of an unknown service": ('service = "stock"', 'service = "nowhere"'),
    "callers of an unknown zone": ("north-a = 2.0", "nowhere = 2.0"),
    "an event of an unknown kind": ('kind = "burst"', 'kind = "miracle"'),
    "a negative number of slots": ("slots = 4", "slots = -4"),
    "a field that nobody knows": ('name = "heavy"', 'name = "heavy"\nsurprise = 1'),
}


@when('the load scenario "{name}" is read with {change}')
def read_with(context, name, change):
    before, after = CHANGES[change]
    text = (SCENARIOS / f"{name}.toml").read_text()
    assert before in text
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    path = folder / "scenario.toml"
    path.write_text(text.replace(before, after, 1))
    try:
        read_scenario(path)
        context.fault = ""
    except BadScenarioError as error:
        context.fault = str(error)


@then('it is refused with "{fault}"')
def refused_with(context, fault):
    assert fault in context.fault, context.fault


@given('the first {seconds:g} s of the load scenario "{name}"')
def scenario(context, seconds, name):
    whole = read_scenario(SCENARIOS / f"{name}.toml")
    context.load_scenario = whole.first_part(seconds / whole.seconds)


def play(context, decider):
    world = World.from_scenario(context.load_scenario, decider)
    return world, world.play()


@then('two plays of "{decider}" give the same figures')
def same_figures(context, decider):
    context.figures = [play(context, decider)[1] for _ in range(2)]
    first, second = (figures.document(1.0) for figures in context.figures)
    assert first == second, (first, second)


@then("each request of them ended once")
def ended_once(context):
    for figures in context.figures:
        assert len(figures.endings) == figures.asked > 0, figures.document(1.0)


@then('"{decider}" earns more than "{one}" and "{other}"')
def earns_more(context, decider, one, other):
    context.worth = {name: play(context, name)[1].worth() for name in DECIDERS}
    assert context.worth[decider] > context.worth[one], context.worth
    assert context.worth[decider] > context.worth[other], context.worth


@then("none of them earns more than the bound")
def below_bound(context):
    bound = worth_bound(context.load_scenario).worth
    assert max(context.worth.values()) <= bound, (context.worth, bound)


@then("no target ran more than its slots and time allow")
def within_slots(context):
    world, _ = play(context, "mothshunt")
    longest_s = max(kind.deadline_ms for kind in context.load_scenario.kinds) / 1000
    for target in world.targets.values():
        room_s = target.plan.slots * (context.load_scenario.seconds + longest_s)
        least_s = target.plan.known_ms / 1000 * target.speed
        assert target.runs * least_s <= room_s + least_s, target.placed


@when('the load scenario "{name}" is played by the command, quickly')
def played_by_command(context, name):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.folder = Path(folder)
    done = subprocess.run(
        [
            *(sys.executable, "-m", "bench", "load"),
            *(str(SCENARIOS / f"{name}.toml"), "--quick"),
        ],
        capture_output=True,
        text=True,
        check=False,
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(REPOSITORY)},
    )
    assert done.returncode == 0, done
    context.document = json.loads(done.stdout.splitlines()[-1])


@then("its last line tells the worth of each way and of the bound")
def last_line(context):
    for name in DECIDERS:
        assert 0 < context.document[name]["worth"] <= context.document["bound"]


@then("a plot and a document lie beside it")
def plot_and_document(context):
    plot = (context.folder / "target" / "load-calm.svg").read_text()
    assert "<svg" in plot
    document = json.loads((context.folder / "target" / "load-calm.json").read_text())
    assert document == context.document


@then('with "{decider}" no target gets more than its rate limit allows')
def within_limits(context, decider):
    world, _ = play(context, decider)
    assert world.limited_spans
    excesses = [span.excess() for span in world.limited_spans]
    assert max(excesses) == 0, excesses


@then('with "{decider}" some target gets more than its rate limit allows')
def over_limits(context, decider):
    world, _ = play(context, decider)
    assert max(span.excess() for span in world.limited_spans) > 0


@then('with "{decider}" at least {share:g} of the rate limits are used')
def limits_used(context, decider, share):
    world, _ = play(context, decider)
    shares = [span.used_share() for span in world.limited_spans]
    assert sum(shares) / len(shares) >= share, shares


@given('the load scenario "{name}"')
def whole_scenario(context, name):
    context.load_scenario = read_scenario(SCENARIOS / f"{name}.toml")


@then(
    "its demand by plain work times is {low:g} to {high:g} of the slots of each service"
)
def plain_demand(context, low, high):
    for plan in context.load_scenario.services:
        work = sum(
            kind.per_s * plan.work_factor(kind) * plan.unknown_ms / 1000
            for kind in context.load_scenario.kinds
            if kind.service == plan.name
        )
        load = work / (plan.targets * plan.slots)
        assert low <= round(load, 2) <= high, (plan.name, load)


@then("a third of its callers are in a region with a tenth of its targets")
def crowded_region(context):
    world = World.from_scenario(context.load_scenario, "mothshunt")
    regions = [target.placed.region for target in world.targets.values()]
    share = regions.count("south") / len(regions)
    # Two targets of sixteen are the nearest that whole targets allow.
    assert 0.05 <= share <= 0.13, share
    assert not context.load_scenario.callers
    zones = context.load_scenario.region_by_zone
    assert list(zones.values()).count("south") * 3 == len(zones)


@then("each region asks for {low:g} to {high:g} of its mean at the top of its wave")
def top_of_wave(context, low, high):
    scenario = context.load_scenario
    for region in scenario.regions:
        top = max(
            scenario.waves.factor(region, at) for at in range(int(scenario.seconds))
        )
        assert low <= top <= high, (region, top)
