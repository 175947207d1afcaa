"""Steps for requests that may not be repeated."""

import time

from behave import then, when

from testkit.caller import Caller, make_session
from testkit.load import LoadPlan, LoadReport, RequestKind
from testkit.ports import HOST
from testkit.process import wait_until
from testkit.proxy import Direction
from testkit.repeats import send_until_kept
from testkit.request import Outcome, Request
from testkit.shape import REGIONS
from testkit.target.config import Endpoint
from tests.steps.promise_setup import instance

BOUND_S = 30
DEADLINE_MS = 8_000
#: Part of the requests that must get a whole answer under faults.
MOST = 0.7
BOOKING_KINDS = (
    RequestKind(service="cabinet-status", weight=3),
    RequestKind(service="site-access", method="POST", path="/bookings", with_key=True),
    RequestKind(service="remote-hands", method="POST", path="/tickets"),
    RequestKind(service="circuit-ordering", method="PUT", path="/orders/7"),
)


def booking(name, *, method="POST", key=True, service_ms=None, deadline_ms=DEADLINE_MS):
    headers = {} if service_ms is None else {"X-Test-Service-Ms": str(service_ms)}
    return Request(
        request_id=name,
        service="site-access",
        method=method,
        path="/bookings/1",
        key=name if key else None,
        body=b"one booking",
        deadline_ms=deadline_ms,
        headers=headers,
    )


def begin(context, entry_id, request):
    """Send a request to one entry on a connection of its own; return its future."""
    port = context.env.deployment[entry_id].traffic_port
    entry = Endpoint(host=HOST, port=port)

    async def send():
        async with make_session(kept_connections=False) as session:
            caller = Caller(
                customer=context.customer,
                client="10.0.0.1",
                ask=[entry],
                session=session,
            )
            return await caller.async_send_to(entry, request)

    return context.env.submit(send())


def send(context, entry_id, request):
    return begin(context, entry_id, request).result(BOUND_S)


def runs_of(context, name):
    return context.env.fleet.run_count_by_id()[name]


@when('instance "{name}" stops hearing control')
def stops_hearing(context, name):
    context.env.deployment.cut([name], directions=(Direction.TO_CLIENT,))


@when('a booking with the key "{name}" is begun through {entry}')
def begun(context, name, entry):
    context.pending = begin(context, entry, booking(name))


@when('a booking of {ms:d} ms with the key "{name}" is begun through {entry}')
def begun_slow(context, ms, name, entry):
    context.pending = begin(context, entry, booking(name, service_ms=ms))


@when('the key "{name}" is claimed')
def claimed(context, name):
    control = context.env.deployment.control_instances

    def keys():
        return max(
            value
            for item in control
            for series, value in {"": 0, **item.metrics()}.items()
            if not series or series.startswith("mothshunt_ledger_keys")
        )

    wait_until(lambda: keys() > 0, BOUND_S, f"{name} is claimed")


@when('the booking "{name}" runs at a target')
def is_running(context, name):
    wait_until(lambda: runs_of(context, name) > 0, BOUND_S, f"{name} runs")


@then('the key "{name}" through {entry} is never answered as a first run')
def never_first(context, name, entry):
    """Send the key again past the point where its outcome counts as unknown."""
    end_at = time.monotonic() + DEADLINE_MS / 1000 + 8
    ends = []
    while time.monotonic() < end_at:
        result = send(context, entry, booking(name))
        assert result.outcome is Outcome.REFUSED, result
        assert result.ran != "no" or runs_of(context, name) == 0, result
        ends.append(result.code_name)
        time.sleep(0.5)
    print("answers in turn:", ends)


@then('the booking "{name}" ran {count:d} times')
def ran_times(context, name, count):
    assert runs_of(context, name) == count, runs_of(context, name)


@when('a booking with the key "{name}" is sent through every entry at once')
def through_all(context, name):
    entries = context.env.deployment.entry_instances
    pending = [begin(context, e.id, booking(name, service_ms=300)) for e in entries]
    context.results = [future.result(BOUND_S) for future in pending]
    for result in context.results:
        assert result.outcome in (Outcome.WHOLE, Outcome.REFUSED), result


@then('the key "{name}" through each entry gets the one first answer')
def first_answer(context, name):
    answers = set()
    for entry in context.env.deployment.entry_instances:
        result = send_until_kept(
            lambda entry=entry: send(context, entry.id, booking(name, service_ms=300))
        )
        assert result.outcome is Outcome.WHOLE, result
        answers.add(result.answer)
    assert len(answers) == 1, answers


@when("the target answers well, then closes after reading each request")
def closes(context):
    first = send(context, "north-2", booking("warm-up", key=False))
    assert first.outcome is Outcome.WHOLE, first
    context.env.fleet.behave(context.target, close_after_read=True)


@when("the target answers {ms:d} ms late")
def late(context, ms):
    context.env.fleet.behave(context.target, late_ms=ms)


@when('a PUT "{name}" without a key is sent through {entry}')
def put_without_key(context, name, entry):
    context.result = send(context, entry, booking(name, method="PUT", key=False))


@when('a PUT "{name}" with a key is sent through {entry}')
def put_with_key(context, name, entry):
    context.result = send(context, entry, booking(name, method="PUT"))


@when('a booking "{name}" with a deadline of {ms:d} ms is sent through {entry}')
def with_deadline(context, name, ms, entry):
    context.result = send(context, entry, booking(name, deadline_ms=ms))


@then('the caller is told that the outcome of "{name}" is unknown')
def told_unknown(context, name):
    assert context.result.request.request_id == name
    assert context.result.outcome is Outcome.REFUSED, context.result
    assert context.result.ran == "unknown", context.result


@when("{count:d} bookings are sent through {entry}")
def bookings_sent(context, count, entry):
    context.bookings = [
        send(context, entry, booking(f"b{n}", method="PUT", key=n % 2 == 0))
        for n in range(count)
    ]
    for result in context.bookings:
        assert result.outcome is Outcome.WHOLE, result


@when("the target's connections from the entries go silent")
def target_silent(context):
    assert context.env.fleet.silence_open(context.target) > 0


@when("{count:d} further bookings are sent through {entry}")
def further_bookings(context, count, entry):
    request = [
        booking(f"c{n}", method="PUT", key=n % 2 == 0, deadline_ms=2000)
        for n in range(count)
    ]
    context.bookings += [send(context, entry, item) for item in request]


@then("no promise of those bookings is broken")
def bookings_kept(context):
    violations = context.env.violations(LoadReport(results=context.bookings))
    assert not violations, violations
    last = context.bookings[-1]
    told = [(item.outcome.value, item.detail) for item in context.bookings]
    assert last.outcome is Outcome.WHOLE, told


@when("bookings and reads arrive all the time")
def arrive(context):
    start_load(context, BOOKING_KINDS, rate_per_s=40)


def start_load(context, kinds, rate_per_s, regions=REGIONS, callers_per_region=2):
    """Begin a load; aiohttp's own repeats are kept out by new connections."""
    context.callers = [
        context.env.caller(context.customer, region, number + 1, kept=False)
        for region in regions
        for number in range(callers_per_region)
    ]
    plan = LoadPlan(kinds=tuple(kinds), rate_per_s=rate_per_s)
    print("seed of the load:", plan.seed)
    context.load = context.env.start_load(plan, context.callers)
    answered(context, 30)


def answered(context, count):
    wanted = len(context.load.report.results) + count
    wait_until(
        lambda: len(context.load.report.results) >= wanted,
        BOUND_S,
        f"{count} further requests have ended",
    )


@when("a target of each region misbehaves in its own way")
def misbehave(context):
    fleet = context.env.fleet
    fleet.behave("site-access-north-a1", close_after_read=True)
    fleet.behave("cabinet-status-centre-a1", truncate="chunked")
    fleet.behave("circuit-ordering-south-a1", late_ms=3000)
    fleet.behave("remote-hands-centre-a1", load_lie={"in_flight": 0}, slow_ms=500)
    fleet.silence_open("remote-hands-north-a1")
    answered(context, 60)


@when('instance "{name}" is killed during the load')
def killed_under_load(context, name):
    instance(context, name).process.kill()
    answered(context, 60)


@when("the load ends")
def load_ends(context):
    context.report = context.load.stop()


@then("no promise is broken under the load")
def load_kept(context):
    violations = context.env.violations(context.report)
    print(context.report.count_by_outcome(), context.report.refused_by_code())
    assert not violations, "\n".join(violations[:20])


@then("most requests got a whole answer")
def most_whole(context):
    whole = context.report.count(Outcome.WHOLE)
    total = len(context.report.results)
    counts = context.report.count_by_outcome(), context.report.refused_by_code()
    assert whole >= MOST * total, counts
