"""Steps for what a soak notes of the notices of targets."""

from behave import given, then, when

from testkit.soak.history import History, Sent, Span
from testkit.soak.notices import Notice, Notices


def send(context, name, entry, at):
    context.history.sent_by_id[name] = Sent(
        id=name, is_order=False, entry=entry, sent_at=at, ended_at=at, status=200
    )


@given('a soak in which "{name}" through "{entry}" ended at {at:g} s')
def ended(context, name, entry, at):
    context.history, context.notices = History(), Notices()
    send(context, name, entry, at)


@when('"{target}" answered "{name}" at {at:g} s that it leaves')
def says_leaving(context, target, name, at):
    notice = Notice(request_id=name, life=(target, 1), at=at)
    context.notices.given.append(notice)


@when('"{target}" answered "{name}" at {at:g} s with a pause of {pause_s:g} s')
def asks_for_pause(context, target, name, at, pause_s):
    notice = Notice(request_id=name, life=(target, 1), at=at, pause_s=pause_s)
    context.notices.given.append(notice)


@when('"{name}" through "{entry}" was sent to "{target}" at {at:g} s')
def came(context, name, entry, target, at):
    send(context, name, entry, at)
    context.notices.came_by_life[target, 1].append((at, name))


@when('{count:d} requests through "{entry}" came to "{target}" at {at:g} s')
def many_came(context, count, entry, target, at):
    for number in range(count):
        came(context, f"more-{number}", entry, target, at)


@when('"{instance}" had such a fault from {since:g} s to {until:g} s')
def had_fault(context, instance, since, until):
    span = Span(since=since, until=until)
    context.history.faults_by_instance[instance].append(span)


@then("the notices show {broken}")
def shows(context, broken):
    history = context.history
    found = list(context.notices.violations(history.sent_by_id, history.had_fault, 0.0))
    if broken == "nothing":
        assert found == [], found
    else:
        assert len(found) == 1, found
        assert found[0].startswith(broken.strip('"')), found
