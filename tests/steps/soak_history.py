"""Steps for the promises that a soak checks."""

from behave import given, then, when

from testkit.soak.history import History, Move, Run, Sent, Span

ENTRY = "entry-1"


def sent(context, name):
    request = Sent(id=name, is_order=True, entry=ENTRY, sent_at=20.0, ended_at=20.1)
    request.status, request.body = 200, f"{name} target-1 stock"
    context.history.sent_by_id[name] = request


def ran(context, name, target, at, service="stock"):
    run = Run(target=target, incarnation=1, service=service, zone="north-a", at=at)
    context.history.runs_by_id[name].append(run)


@given('the history of a soak in which "{name}" ran at "{target}" at {at:g} s')
def history(context, name, target, at):
    context.history = History(control=frozenset({"control"}))
    context.history.moves.append(Move(service="stock", asked_at=0, confirmed_at=1))
    sent(context, name)
    ran(context, name, target, at)


@when('"{name}" was answered {status:d} with "{body}"')
def answered(context, name, status, body):
    request = context.history.sent_by_id[name]
    request.status, request.body = status, body


@when('"{name}" was answered {status:d} with ""')
def answered_empty(context, name, status):
    answered(context, name, status, "")


@when('"{name}" got no answer')
def no_answer(context, name):
    answered(context, name, 0, "")


@when('"{name}" ran at "{target}" at {at:g} s')
def ran_again(context, name, target, at):
    ran(context, name, target, at)


@when('"{name}" of "{service}" ran at {at:g} s')
def ran_of(context, name, service, at):
    sent(context, name)
    ran(context, name, "target-9", at, service)


@when('"{target}" had left at {at:g} s')
def had_left(context, target, at):
    context.history.away_by_target[target, 1] = Span(since=at, until=float("inf"))


@when('the zone of "{target}" was evacuated from {since:g} s to {until:g} s')
def evacuated(context, target, since, until):
    span = Span(since=since, until=until)
    context.history.evacuations_by_zone["north-a"].append(span)


@when('all routes went to "{service}", asked for at {asked:g} s, confirmed at {at:g} s')
def moved(context, service, asked, at):
    move = Move(service=service, asked_at=asked, confirmed_at=at)
    context.history.moves.append(move)


@when('"{instance}" had a fault from {since:g} s to {until:g} s')
def had_fault(context, instance, since, until):
    span = Span(since=since, until=until)
    context.history.faults_by_instance[instance].append(span)


@when('"{instance}" was asked to stop at {since:g} s and ended at {until:g} s')
def stopped(context, instance, since, until):
    span = Span(since=since, until=until)
    context.history.stops_by_instance[instance].append(span)


@when("the soak did not run for {seconds:g} s")
def lagged(context, seconds):
    context.history.lag_s = seconds


@then("the history breaks no promise")
@then("the history breaks nothing")
def breaks_nothing(context):
    assert context.history.violations() == [], context.history.violations()


@then('the history breaks "{name}"')
def breaks(context, name):
    found = [line.split(" ")[0] for line in context.history.violations()]
    assert found == [name], context.history.violations()
