"""Steps for the check of rate limits that targets name."""

from behave import given, then, when

from testkit.rate_limits import RateLimitHistory
from testkit.soak.history import History, Sent, Span

LIFE = ("target-1", 1)


def send(context, entry, at):
    request_id = f"r{len(context.history.sent_by_id)}"
    context.history.sent_by_id[request_id] = Sent(
        id=request_id, is_order=False, entry=entry, sent_at=at, ended_at=at, status=200
    )
    return request_id


def pass_on(context, entry, at):
    context.limits.naming_by_life[LIFE].append(send(context, entry, at))


@given("a target that names a limit of {per_s:g} a second at {at:g} s")
def names(context, per_s, at):
    context.history, context.limits = History(), RateLimitHistory()
    context.limits.set_limit(LIFE, per_s, at)


@given('"{first}" and "{second}" passed on a response with it at {at:g} s')
def both_passed_on(context, first, second, at):
    pass_on(context, first, at)
    pass_on(context, second, at)


@when('"{entry}" passes on another response with it at {at:g} s')
def passes_on(context, entry, at):
    pass_on(context, entry, at)


@when('"{entry}" has a fault from {since:g} s to {until:g} s')
def has_fault(context, entry, since, until):
    span = Span(since=since, until=until)
    context.history.faults_by_instance[entry].append(span)


@when("the target names {limit} at {at:g} s")
def names_later(context, limit, at):
    per_s = None if limit == "no limit" else float(limit.rpartition(" ")[2])
    context.limits.set_limit(LIFE, per_s, at)


def come(context, entries, since, until):
    for number, entry in enumerate(entries):
        at = since + (until - since) * number / (len(entries) - 1)
        context.limits.record_arrival(LIFE, send(context, entry, at), at)


@when(
    '{first_count:d} requests through "{first}" and {second_count:d} through "{second}"'
    " come evenly from {since:g} s to {until:g} s"
)
def both_come(context, first_count, first, second_count, second, since, until):
    come(context, [first] * first_count + [second] * second_count, since, until)


@when(
    '{count:d} requests through "{entry}" come evenly from {since:g} s to {until:g} s'
)
def requests_come(context, count, entry, since, until):
    come(context, [entry] * count, since, until)


@then("the check of rate limits shows {broken}")
def shows(context, broken):
    history = context.history
    found = list(context.limits.violations(history.sent_by_id, history.had_fault, 0.0))
    if broken == "nothing":
        assert found == [], found
    else:
        assert len(found) == 1, found
        assert found[0].startswith(broken.strip('"')), found
