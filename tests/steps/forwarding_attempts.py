"""Steps that send requests through a routed entry to simulated targets."""

import asyncio
import re
import time
from random import Random

from behave import given, then, when

from mothshunt.forwarding.retry import RetryBudget
from testkit.routed_entry import RoutedWorld, request_bytes
from tests.support.raw_target import RawTarget
from tests.support.target_behaviours import BEHAVIOURS, answers


class FinishingTarget(RawTarget):
    """Target that counts the requests that it finished."""

    finished = 0


def set_up(context, **options):
    context.runner = context.stack.enter_context(asyncio.Runner())
    context.world = RoutedWorld(**options)
    context.target_by_name = {}
    context.runner.run(context.world.start())
    context.stack.callback(lambda: context.runner.run(tear_down(context)))


async def tear_down(context):
    for target in context.target_by_name.values():
        await target.stop()
    await context.world.stop()


@given("a routed entry")
def routed_entry(context):
    set_up(context)


@given("a routed entry with a timeout of {timeout_ms:d} ms")
def with_timeout(context, timeout_ms):
    set_up(context, timeout_s=timeout_ms / 1000)


@given("a routed entry that is not ready")
def not_ready(context):
    set_up(context, is_open=False)


@given('a routed target "{name}" that {behaviour}')
def routed_target(context, name, behaviour):
    target = FinishingTarget(name, BEHAVIOURS[behaviour])
    context.runner.run(target.start())
    context.target_by_name[name] = target
    context.world.add_target(name, target.port)


@given('a routed target "{name}" whose port is closed')
def closed_target(context, name):
    target = FinishingTarget(name, answers)
    context.runner.run(target.start())
    context.runner.run(target.stop())
    context.target_by_name[name] = target
    context.world.add_target(name, target.port)


def send(context, method, path, **options):
    data = request_bytes(method, path, **options)
    return context.runner.run(context.world.exchange(data))


@when('a routed caller sends {method} "{path}" with body "{body}"')
def sends_body(context, method, path, body):
    began = time.monotonic()
    context.answers = [send(context, method, path, body=body.encode())]
    context.took_ms = (time.monotonic() - began) * 1000


@when('a routed caller sends {method} "{path}"')
def sends(context, method, path):
    context.answers = [send(context, method, path)]


@when(
    'a routed caller sends {method} "{path}" with the bytes {digits} as affinity cookie'
)
def sends_cookie(context, method, path, digits):
    data = request_bytes(method, path, headers="Cookie: Mothshunt-Affinity=VALUE\r\n")
    data = data.replace(b"VALUE", bytes.fromhex(digits))
    context.answers = [context.runner.run(context.world.exchange(data))]


@when('a routed caller sends {method} "{path}" for each of {count:d} objects')
def sends_for_objects(context, method, path, count):
    context.answers = [
        send(
            context,
            method,
            path,
            headers=f"Cookie: Mothshunt-Affinity={number}\r\n",
            request_id=f"id-{number}",
        )
        for number in range(count)
    ]


@when('"{name}" {behaviour} from now on')
def behaves(context, name, behaviour):
    context.target_by_name[name].behaviour = BEHAVIOURS[behaviour]


@when('"{name}" renews its registration without a restart')
def renews(context, name):
    context.world.renew(name)


@when('"{name}" restarts')
def starts_again(context, name):
    context.world.renew(name, starts_again=True)


@when('"{name}" restarts {seconds:g} s later')
def restarts_later(context, name, seconds):
    context.world.renew(name, starts_again=True, after_s=seconds)


@when("{seconds:g} s pass at the routed entry")
def time_passes(context, seconds):
    context.runner.run(asyncio.sleep(seconds))


@when('a routed caller leaves {delay_ms:d} ms after {method} "{path}"')
def leaves(context, delay_ms, method, path):
    data = request_bytes(method, path)
    leaving = context.world.exchange(data, close_after_s=delay_ms / 1000)
    context.runner.run(leaving)


def status(answer: bytes) -> int:
    return int(answer.split(b" ", 2)[1]) if answer else 0


def body(answer: bytes) -> bytes:
    return answer.partition(b"\r\n\r\n")[2]


@then("the routed caller got status {wanted:d}")
def got_status(context, wanted):
    assert status(context.answers[-1]) == wanted, context.answers


@then("the routed caller got status {wanted:d} each time")
def got_each_time(context, wanted):
    assert {status(answer) for answer in context.answers} == {wanted}, context.answers


@then("each response carries the id of its own request")
def carries_own_id(context):
    for number, answer in enumerate(context.answers):
        assert body(answer) == f"id-{number}".encode(), (number, answer)


@then("the routed caller got a Retry-After of at most {seconds:g} s")
def retry_after_at_most(context, seconds):
    match = re.search(rb"Retry-After: ([0-9.]+)", context.answers[-1])
    assert match is not None, context.answers
    assert 0 < float(match[1]) <= seconds, match


@then("the routed caller got no complete response")
def no_complete_response(context):
    answer = context.answers[-1]
    is_error = status(answer) in (0, 502)
    assert is_error or not answer.endswith(b"0\r\n\r\n"), answer


@then("the routed caller got no complete successful response")
def no_complete_successful_response(context):
    answer = context.answers[-1]
    assert not is_complete_success(answer), answer[:500]


def is_complete_success(answer: bytes) -> bool:
    """Whether a caller would take a response for complete and successful (2xx)."""
    if not 200 <= status(answer) < 300:
        return False
    head = answer.partition(b"\r\n\r\n")[0].lower()
    length = re.search(rb"\r\ncontent-length: (\d+)", head)
    if length is not None:
        return len(body(answer)) >= int(length[1])
    if b"\r\ntransfer-encoding: chunked" in head:
        return answer.endswith(b"0\r\n\r\n")
    return True


@then("the routed caller got the complete body")
def complete_body(context):
    answer = context.answers[-1]
    assert b"all of it" in answer, answer
    assert answer.endswith((b"0\r\n\r\n", b"all of it")), answer


@then("the last routed answer took between {least:d} and {most:d} ms")
def took(context, least, most):
    assert least <= context.took_ms <= most, context.took_ms


@then('"{name}" got {method} "{path}" with body "{text}"')
def target_got(context, name, method, path, text):
    request = context.target_by_name[name].requests[-1]
    found = (request.method, request.path, request.body)
    assert found == (method, path, text.encode()), found


@then('"{name}" got header "{header}" "{value}"')
def target_got_header(context, name, header, value):
    request = context.target_by_name[name].requests[-1]
    assert request.header_by_name.get(header) == value, request.header_by_name


@then('"{name}" got no header "{header}"')
def target_got_no_header(context, name, header):
    request = context.target_by_name[name].requests[-1]
    assert header not in request.header_by_name, request.header_by_name


@then('"{name}" got a deadline header of at most {most:d} ms')
def target_got_time(context, name, most):
    request = context.target_by_name[name].requests[-1]
    left_ms = int(request.header_by_name["mothshunt-deadline-ms"])
    assert 0 < left_ms <= most, left_ms


@then('"{name}" got {count:d} requests')
def got_requests(context, name, count):
    found = len(context.target_by_name[name].requests)
    assert found == count, found


@then('"{name}" got at least one request')
def got_at_least_one(context, name):
    assert context.target_by_name[name].requests


@then("the routed caller got a Retry-After between {least:g} and {most:g} s")
def retry_after_between(context, least, most):
    match = re.search(rb"Retry-After: ([0-9.]+)", context.answers[-1])
    assert match is not None, context.answers
    assert least <= float(match[1]) <= most, match


@then('the control instances are notified once that "{name}" leaves')
def notified_of_leaving(context, name):
    assert [target.id for target in context.world.seen_leaving] == [name]


@then("the control instances are notified of no leaving target")
def notified_of_none(context):
    assert not context.world.seen_leaving


@then("the targets got one request in total")
def one_request(context):
    requests_reached(context, 1)


@then("the targets got {count:d} requests in total")
def requests_reached(context, count):
    counts = [len(t.requests) for t in context.target_by_name.values()]
    assert sum(counts) == count, counts


@then("the requests for each object went to one target only")
def one_target_per_object(context):
    names_by_object = {}
    for name, target in context.target_by_name.items():
        for request in target.requests:
            names = names_by_object.setdefault(request.header_by_name["cookie"], set())
            names.add(name)
    assert all(len(names) == 1 for names in names_by_object.values()), names_by_object


@then('the connection to "{name}" is closed within {limit_ms:d} ms')
def connection_closed(context, name, limit_ms):
    lost = context.target_by_name[name].lost.wait()
    context.runner.run(asyncio.wait_for(lost, limit_ms / 1000))


@then('"{name}" has no open connection within {limit_ms:d} ms')
def no_open_connection(context, name, limit_ms):
    target = context.target_by_name[name]

    async def wait():
        async with asyncio.timeout(limit_ms / 1000):
            while target.closed_connections < target.connections:
                await asyncio.sleep(0.01)

    assert target.connections > 0
    context.runner.run(wait())


@then('"{name}" finishes {count:d} request within {limit_ms:d} ms')
def finishes(context, name, count, limit_ms):
    target = context.target_by_name[name]

    async def wait():
        async with asyncio.timeout(limit_ms / 1000):
            while target.finished < count:
                await asyncio.sleep(0.01)

    context.runner.run(wait())


@then('"{name}" saw {count:d} connection')
def saw_connections(context, name, count):
    assert context.target_by_name[name].connections == count


@then(
    "the retry budget is kept in {count:d} random sequences of requests and retries"
    " at 1 to 8 entry instances"
)
def budget_is_kept(context, count):
    worst = 0.0
    for seed in range(count):
        random = Random(seed)
        entries = random.randint(1, 8)
        ratio, slack, window_s = 0.2, random.uniform(0, 60), 10.0
        budgets = [RetryBudget(ratio, slack, window_s) for _ in range(entries)]
        first, further = [], []
        now = 0.0
        while now < 30.0:
            now += random.expovariate(20)
            budget = random.choice(budgets)
            if random.random() < 0.5:
                budget.count_request("s", now)
                first.append(now)
            elif budget.take("s", 1 / entries, now):
                further.append(now)
        for end in further:
            extra_count = sum(1 for at in further if end - window_s < at <= end)
            request_count = sum(1 for at in first if end - window_s < at <= end)
            assert extra_count <= ratio * request_count + slack, (
                extra_count,
                request_count,
                slack,
            )
            worst = max(worst, extra_count / (ratio * request_count + slack))
    print(f"worst: {worst:.2f} of the budget")


def orders_that_ran(context):
    targets = context.target_by_name.values()
    return [order for target in targets for order in getattr(target, "ran", [])]


@then("no order that ran was reported as not run")
def none_denied(context):
    ran = orders_that_ran(context)
    assert ran, "no order ran"
    statuses = {f"id-{n}": status(a) for n, a in enumerate(context.answers)}
    denied = {o: statuses[o] for o in ran if statuses[o] in (408, 421, 429, 503)}
    assert not denied, denied


@then("no order ran twice")
def none_twice(context):
    ran = orders_that_ran(context)
    assert len(ran) == len(set(ran)), ran


@then("no routed caller got a successful response")
def none_successful(context):
    (target,) = context.target_by_name.values()
    statuses = [status(answer) for answer in context.answers]
    assert len(target.requests) >= len(statuses) / 2, len(target.requests)
    assert not any(200 <= code < 300 for code in statuses), statuses
