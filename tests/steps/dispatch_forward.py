"""Steps that send requests through an entry instance to raw targets."""

import asyncio
import json
import time

from behave import given, then, when

from mothshunt.metrics.registry import Metrics
from tests.support.dispatch_entry import BASE, send, start_entry
from tests.support.dispatch_fakes import FakeControl, ListChooser, contract
from tests.support.raw_target import BEHAVIOURS, RawTarget


def set_up(context, the_contract) -> None:
    context.runner = context.stack.enter_context(asyncio.Runner())
    context.contract = the_contract
    context.metrics = Metrics()
    context.chooser = ListChooser()
    context.control = FakeControl()
    context.target_by_name = {}
    context.answers = []
    context.server = context.runner.run(start_entry(context))
    context.stack.callback(lambda: context.runner.run(tear_down(context)))


async def tear_down(context) -> None:
    for target in context.target_by_name.values():
        await target.stop()
    await context.server.async_stop()


@given("a dispatch entry")
def entry(context):
    set_up(context, contract())


@given("a dispatch entry with a request timeout of {timeout_ms:d} ms")
def entry_with_timeout(context, timeout_ms):
    set_up(context, contract(timeout_ms=timeout_ms))


@given("a dispatch entry with a budget of one retry")
def entry_with_budget(context):
    set_up(context, contract(ratio=0.0, minimum=0.1))


@given("a dispatch entry without retries and a request timeout of {timeout_ms:d} ms")
def entry_without_retries(context, timeout_ms):
    set_up(context, contract(timeout_ms=timeout_ms, ratio=0.0, minimum=0.0))


@given("permits for {count:d} attempts at all targets together")
def limited_permits(context, count):
    context.chooser.max_permits = count


@given('a raw target "{name}" that {behaviour}')
def raw_target(context, name, behaviour):
    target = RawTarget(name, BEHAVIOURS[behaviour])
    context.runner.run(target.start())
    context.target_by_name[name] = target
    context.chooser.add(name, target.port)


@given('a raw target "{name}" whose port is closed')
def closed_target(context, name):
    target = RawTarget(name, BEHAVIOURS["answers"])
    context.runner.run(target.start())
    context.runner.run(target.stop())
    context.target_by_name[name] = target
    context.chooser.add(name, target.port)


@when('a dispatch caller sends {method} "{path}"')
def caller_sends(context, method, path):
    started_at = time.monotonic()
    context.answers.append(context.runner.run(send(context, method, BASE + path)))
    context.took_s = time.monotonic() - started_at


@when('a dispatch caller uploads {size:d} bytes with {method} "{path}"')
def caller_sends_body(context, method, path, size):
    coroutine = send(context, method, BASE + path, body=b"b" * size)
    context.answers.append(context.runner.run(coroutine))


@when('a dispatch caller adds {header} "{value}" to {method} "{path}"')
def caller_sends_header(context, method, path, header, value):
    coroutine = send(context, method, BASE + path, headers={header: value})
    context.answers.append(context.runner.run(coroutine))


@when('a dispatch caller leaves {delay_ms:d} ms after {method} "{path}"')
def caller_leaves(context, method, path, delay_ms):
    async def leave():
        await send(context, method, BASE + path, timeout_s=delay_ms / 1000)
        await asyncio.sleep(0.2)

    context.runner.run(leave())


@when("{delay_ms:d} ms pass at the dispatch entry")
def time_passes(context, delay_ms):
    context.runner.run(asyncio.sleep(delay_ms / 1000))


@then('the dispatch caller got status {status:d} and "{text}"')
def got(context, status, text):
    assert context.answers[-1][0] == status, context.answers[-1]
    assert context.answers[-1][2].decode() == text, context.answers[-1]


@then('the dispatch caller got its own response to "{path}"')
def got_own(context, path):
    status, _, text = context.answers[-1]
    assert status == 200, context.answers[-1]
    assert text.decode() in (f"t1 {path}", f"t2 {path}"), context.answers[-1]


@then("the dispatch caller got code {number:d} with ran {ran}")
def got_code(context, number, ran):
    _, headers, body = context.answers[-1]
    assert headers.get("Mothshunt-Code") == str(number), context.answers[-1]
    assert headers.get("Mothshunt-Ran") == ran, context.answers[-1]
    assert json.loads(body)["ran"] == ran


@then("the dispatch caller is told to retry after {seconds:d} s")
def told_to_retry(context, seconds):
    assert context.answers[-1][1].get("Retry-After") == str(seconds), context.answers


@then("the dispatch caller's connection closed before the end of the response")
def connection_closed_early(context):
    assert context.answers[-1][0] is None, context.answers[-1][0]


@then("the last dispatch response took less than {limit_ms:d} ms")
def took_less(context, limit_ms):
    assert context.took_s * 1000 < limit_ms, context.took_s


@then("the dispatch caller got {size:d} bytes")
def got_bytes(context, size):
    assert len(context.answers[-1][2]) == size, len(context.answers[-1][2])


@then('target "{name}" was reached {times:d} times')
def reached(context, name, times):
    requests = context.target_by_name[name].requests
    assert len(requests) == times, requests


@then('target "{name}" saw {count:d} connections')
def saw_connections(context, name, count):
    assert context.target_by_name[name].connections == count


@then('the connection to target "{name}" was closed')
def lost_connection(context, name):
    lost = context.target_by_name[name].lost
    context.runner.run(asyncio.wait_for(lost.wait(), 10))


@then('target "{name}" got a deadline of at most {limit_ms:d} ms')
def given_deadline(context, name, limit_ms):
    value = (
        context.target_by_name[name]
        .requests[-1]
        .header_by_name["mothshunt-deadline-ms"]
    )
    assert 0 < int(value) <= limit_ms, value


@then('the outcomes were "{outcomes}"')
def outcomes_were(context, outcomes):
    found = ", ".join(f"{name} {outcome}" for name, outcome in context.chooser.outcomes)
    assert found == outcomes, found
    assert context.chooser.permits_in_use == 0


@then('the dispatch counter {name} with {label} "{value}" is {count:d}')
def counter_is(context, name, label, value, count):
    found = sum(
        amount
        for series, amount in context.metrics.counter_by_series.items()
        if series.name == name and (label, value) in series.labels
    )
    assert found == count, context.metrics.render()


@then("the dispatch caller got no complete response")
def no_complete_response(context):
    status, headers, _ = context.answers[-1]
    refused = headers.get("Mothshunt-Ran") == "unknown"
    assert status is None or refused, context.answers[-1]


def received_request_id(context, name):
    headers = context.target_by_name[name].requests[-1].header_by_name
    return headers["mothshunt-request-id"]


@then('target "{name}" got the request id "{request_id}"')
def target_got_id(context, name, request_id):
    assert received_request_id(context, name) == request_id


@then('target "{name}" got a request id other than "{request_id}"')
def target_got_other_id(context, name, request_id):
    received = received_request_id(context, name)
    assert received
    assert received != request_id


@then('the dispatch caller got the request id "{request_id}"')
def caller_got_id(context, request_id):
    assert context.answers[-1][1]["Mothshunt-Request-Id"] == request_id
