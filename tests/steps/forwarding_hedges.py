"""Steps for reads whose target is overdue."""

from collections import Counter

from behave import given, then

from mothshunt.forwarding.retry import hedge_delay_s
from tests.steps.forwarding_attempts import set_up
from tests.support.target_behaviours import ID


@given("a routed entry whose retry budget is empty")
def empty_budget(context):
    set_up(context, ratio=0.0, slack=0.0)


@then("no target got the same request twice")
def none_twice(context):
    for target in context.target_by_name.values():
        counts = Counter(request.header_by_name[ID] for request in target.requests)
        assert all(count == 1 for count in counts.values()), counts


@then(
    "a target that is expected within {usual:d} ms is overdue after {delay:d} ms of"
    " {time:d} ms"
)
def overdue_after(context, usual, delay, time):
    found = hedge_delay_s(usual / 1000, time / 1000)
    assert abs(found - delay / 1000) < 1e-9, found


@then("both targets got requests")
def both_got(context):
    counts = [len(target.requests) for target in context.target_by_name.values()]
    assert all(counts), counts
