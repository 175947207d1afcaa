"""Steps for the authentication of requests by keys of workspaces."""

import asyncio
import contextlib
import io
import json
import logging
import time
from dataclasses import replace

from behave import given, then, when

from mothshunt.configuration.model import Configuration
from mothshunt.forwarding.model import RoutedRequest
from mothshunt.forwarding.workspace_metrics import WorkspaceCounters
from mothshunt.helpers import log
from mothshunt.metrics.registry import Metrics
from mothshunt.routing.model import Workspace
from mothshunt.routing.workspaces import (
    digest_prefix,
    key_digest,
    key_digests,
    workspace_by_key_digest,
)
from testkit.routed_entry import HOST, request_bytes, table
from tests.steps.forwarding_attempts import send, set_up, status


def workspace(keys=(), *, priority=None, regions=()) -> Workspace:
    return Workspace(
        name="florist",
        key_digests=key_digests(keys),
        requests_per_s=0.0,
        burst=0.0,
        priority=priority,
        home_regions=tuple(regions),
        document="",
    )


def set_workspace(context, the_workspace):
    configuration = context.world.holder.configuration
    routing = replace(
        configuration.routing,
        workspace_by_name={the_workspace.name: the_workspace},
        workspace_by_key_digest=workspace_by_key_digest([the_workspace]),
    )
    context.world.holder.configuration = replace(configuration, routing=routing)


@given('a routed entry with workspace "florist" with the key "{key}"')
def entry_with_workspace(context, key):
    set_up(context)
    holder = context.world.holder
    reads, orders = holder.configuration.routing.routes_by_host[HOST]
    opened = replace(reads, name="open", path_prefix="/open/", allows_anonymous=True)
    far = replace(reads, name="far", path_prefix="/far/", home_regions=("south",))
    routes_by_host = {HOST: (reads, orders, opened, far)}
    routing = replace(holder.configuration.routing, routes_by_host=routes_by_host)
    holder.configuration = Configuration(revision=1, routing=routing)
    set_workspace(context, workspace([key], regions=["north"]))
    context.key = key


@given("the routed entry is not sure that its configuration is current")
def not_current(context):
    context.world.is_current = False


@when('a caller with the header "{header}" sends "{path}"')
def sends_with_header(context, header, path):
    lines = "".join(f"{line}\r\n" for line in header.split(";"))
    context.answers = [send(context, "GET", path, headers=lines)]


@when('a caller with a key of {length:d} characters sends "{path}"')
def sends_long_key(context, length, path):
    line = f"Authorization: Bearer {'k' * length}\r\n"
    context.answers = [send(context, "GET", path, headers=line)]


@then("the routed caller got status {wanted:d} and code {code:d}")
def got_code(context, wanted, code):
    answer = context.answers[-1]
    assert status(answer) == wanted, answer
    assert f"Mothshunt-Code: {code}\r\n".encode() in answer, answer


@then("the response contains no key")
def no_key_in_response(context):
    answer = context.answers[-1]
    assert context.key.encode() not in answer, answer
    assert b"wrong" not in answer, answer


@then('"{name}" got no request')
def got_no_request(context, name):
    assert not context.target_by_name[name].requests


@then(
    'on one connection a request with the key "{key}" is answered 200, and 401 after'
    " the key is removed"
)
def removed_on_open_connection(context, key):
    async def run():
        port = context.world.server.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        statuses = []
        for is_removed in (False, True):
            if is_removed:
                set_workspace(context, workspace())
            line = f"Authorization: Bearer {key}\r\n"
            data = request_bytes("GET", "/reads/a", headers=line)
            writer.write(data.replace(b"Connection: close\r\n", b""))
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            await reader.readexactly(length)
            statuses.append(status(head))
        writer.close()
        return statuses

    found = context.runner.run(run())
    assert found == [200, 401], found


def routed(the_workspace, **of_route) -> RoutedRequest:
    route = replace(table(1.0).routes_by_host[HOST][0], **of_route)
    return RoutedRequest(
        request_id="id",
        route=route,
        service="s",
        method="GET",
        target="/",
        affinity_key=None,
        received_at=0.0,
        deadline=1.0,
        workspace=the_workspace,
    )


def regions(text):
    return () if text == "all" else tuple(text.split())


@then('home regions "{route}" of the route and "{own}" of the workspace allow "{both}"')
def home_regions(context, route, own, both):
    request = routed(workspace(regions=regions(own)), home_regions=regions(route))
    assert request.home_regions == frozenset(regions(both)), request.home_regions


@then(
    "a workspace of priority {own:d} makes a request of a route of priority"
    " {of_route:d} rank {rank:d}"
)
def ranks(context, own, of_route, rank):
    assert routed(workspace(priority=own), priority=of_route).urgency == rank


@then(
    "a workspace without a priority makes a request of a route of priority"
    " {of_route:d} rank {rank:d}"
)
def ranks_by_route(context, of_route, rank):
    assert routed(workspace(), priority=of_route).urgency == rank


@contextlib.contextmanager
def captured_lines():
    """Give the stream to which log lines are written meanwhile."""
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(log.JsonLineFormatter("test"))
    logger = logging.getLogger("absl")
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        yield stream
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)


@when('{count:d} requests of the path "{path}" match no route')
def requests_match_none(context, count, path):
    began = time.monotonic()
    with captured_lines() as stream:
        answers = [send(context, "GET", path) for _ in range(count)]
    assert {status(answer) for answer in answers} == {404}
    context.seconds_begun = int(time.monotonic() - began) + 2
    context.lines = stream.getvalue().splitlines()


@then('at most {per_s:d} lines "{text}" a second name the host and the path "{path}"')
def lines_name_path(context, per_s, text, path):
    lines = [json.loads(line) for line in context.lines]
    found = [(line["host"], line["path"]) for line in lines if line["text"] == text]
    assert 0 < len(found) <= per_s * context.seconds_begun, context.lines
    assert set(found) == {(HOST, path)}, found


@when('{count:d} requests with the key "{key}" are rejected')
def requests_rejected(context, count, key):
    began = time.monotonic()
    with captured_lines() as stream:
        line = f"Authorization: Bearer {key}\r\n"
        answers = [send(context, "GET", "/reads/a", headers=line) for _ in range(count)]
    assert {status(answer) for answer in answers} == {401}
    context.seconds_begun = int(time.monotonic() - began) + 2
    context.lines = stream.getvalue().splitlines()


@then('at most {per_s:d} lines "{text}" a second have the digest of "{key}"')
def lines_have_digest(context, per_s, text, key):
    lines = [json.loads(line) for line in context.lines]
    found = [line["key_digest"] for line in lines if line["text"] == text]
    assert 0 < len(found) <= per_s * context.seconds_begun, context.lines
    assert set(found) == {digest_prefix(key_digest(key))}, found


@then('no line contains "{key}"')
def no_line_contains(context, key):
    assert not any(key in line for line in context.lines), context.lines


@then('the metrics have {count:d} of {metric} for "{name}"')
def metrics_have(context, count, metric, name):
    text = context.world.metrics.render()
    assert f'{metric}{{workspace="{name}"}} {count}\n' in text, text


@when("each of {count:d} workspaces has as many requests as its number")
def many_workspaces(context, count):
    context.count = count
    context.metrics = Metrics()
    context.counters = WorkspaceCounters.from_metrics(context.metrics)
    for number in range(1, count + 1):
        one = replace(workspace(), name=f"w-{number}")
        context.counters.rejected_by_name[one.name] += number - 1
        context.counters.count_admitted(one)


@then("the metrics name workspaces {first:d} to {last:d} and sum up {others:d} others")
def metrics_name(context, first, last, others):
    counts = context.counters.exposed(context.counters.admitted_by_name)
    named = {f"w-{number}" for number in range(first, last + 1)}
    assert counts.keys() == named | {"(other)"}, counts
    assert counts["(other)"] == others, counts


@then("at most {most:d} workspaces are counted one by one and no request is lost")
def counts_bounded(context, most):
    counters = context.counters
    assert len(counters.admitted_by_name) <= most + 1, len(counters.admitted_by_name)
    total = counters.admitted_by_name.total() + counters.rejected_by_name.total()
    assert total == context.count * (context.count + 1) // 2, total
