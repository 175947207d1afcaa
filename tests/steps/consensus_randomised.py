"""Steps for pure nodes under faults that hypothesis draws."""

from behave import then, when

from tests.support.consensus_machine import run_examples


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
