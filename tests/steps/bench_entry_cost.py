"""Steps for the measurement of an entry's cost."""

from unittest.mock import patch

from behave import then, when

from bench import entry_cost


@when("the cost of an entry is measured with {requests:d} requests")
def measured(context, requests):
    with patch.object(entry_cost, "QUICK_REQUESTS", requests):
        context.cost = entry_cost.run(quick=True)


@then("a request takes some processor time")
def takes_time(context):
    assert context.cost["us_per_request"] > 0, context.cost


@then('the slices "{slices}" and the library "{library}" have shares')
def have_shares(context, slices, library):
    parts = [*(f"mothshunt/{name}" for name in slices.split(", ")), library]
    for part in parts:
        assert context.cost["shares"][part] > 0, context.cost


@then("the shares add up to {whole:g}")
def add_up(context, whole):
    total = sum(context.cost["shares"].values())
    assert abs(total - whole) < 0.02, context.cost
