"""Steps for the merge of routing items."""

import math
from dataclasses import replace

from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import settings
from hypothesis import strategies as st

from mothshunt.admin.routing_model import RoutingDocument
from mothshunt.configuration.decode import ItemDecoder
from mothshunt.routing.applier import routing_items
from mothshunt.routing.messages import PatchRouting
from mothshunt.routing.model import (
    LimitsItem,
    RequestKind,
    RequestLimits,
    Route,
    RouteItem,
    Service,
    ServiceItem,
    WeightedService,
)
from mothshunt.routing.split import WeightedSplit
from mothshunt.routing.state import RoutingItems, merge
from mothshunt.routing.table import build_table, routes_by_host
from mothshunt.util import schema, wire

HOST = "shop.example"


def route(name, prefix, services=(("s", 1.0),), attempts=2, timeout_s=1.0) -> Route:
    return Route(
        name=name,
        host=HOST,
        path_prefix=prefix,
        kind=RequestKind.IDEMPOTENT,
        timeout_s=timeout_s,
        target_latency_s=0.3,
        priority=1,
        services=tuple(WeightedService(service=s, weight=w) for s, w in services),
        max_attempts=attempts,
        has_affinity=True,
        home_regions=(),
        document="{}",
    )


def service_item(name, version, *, dropped=False) -> ServiceItem:
    service = Service(
        name=name,
        health_path="/healthz",
        max_connections=10,
        cold_start_s=3.0,
        cold_requests_per_s=10.0,
        document="{}",
    )
    return ServiceItem(name=name, version=version, service=None if dropped else service)


def patch(routes=(), services=()) -> PatchRouting:
    return PatchRouting(operator="op", routes=tuple(routes), services=tuple(services))


def send(context, the_patch) -> None:
    context.outcome = merge(context.items, the_patch)
    if context.outcome.is_ok():
        context.items = context.outcome.ok.items


def set_route(name, prefix, version, service="s") -> RouteItem:
    the_route = route(name, prefix, ((service, 1.0),))
    return RouteItem(name=name, version=version, route=the_route)


@given('routing items with service "{name}" at version {version:d}')
def held_items(context, name, version):
    context.items = RoutingItems()
    send(context, patch(services=[service_item(name, version)]))


@when('route "{name}" at "{prefix}" to "{service}" is set at version {version:d}')
def route_is_set(context, name, prefix, service, version):
    send(context, patch([set_route(name, prefix, version, service)]))


@when('route "{name}" is dropped at version {version:d}')
def route_is_dropped(context, name, version):
    send(context, patch([RouteItem(name=name, version=version, route=None)]))


@when('service "{name}" is dropped at version {version:d}')
def service_is_dropped(context, name, version):
    send(context, patch(services=[service_item(name, version, dropped=True)]))


FAULTS = {
    "an unknown service": [route("new", "/n/", (("nowhere", 1.0),))],
    "a place that is taken": [route("new", "/a/")],
    "one place twice": [route("new", "/n/"), route("new-2", "/n/")],
    "weights that add up to 0": [route("new", "/n/", (("s", 0.0),))],
    "a negative weight": [route("new", "/n/", (("s", 2.0), ("s", -1.0)))],
    "no attempt": [route("new", "/n/", attempts=0)],
    "no timeout": [route("new", "/n/", timeout_s=0.0)],
    "a prefix without a slash": [route("new", "/n")],
}


@when("a patch with {fault} is sent")
def invalid_patch(context, fault):
    items = [RouteItem(name=r.name, version=9, route=r) for r in FAULTS[fault]]
    good = set_route("good", "/good/", 9)
    send(context, patch([good, *items]))


@then("the last patch was refused with code {code:d}")
def refused(context, code):
    assert context.outcome.is_error(), context.outcome
    assert context.outcome.error.code.number == code, context.outcome.error


@then("the last patch was accepted with {count:d} items changed")
def accepted(context, count):
    assert context.outcome.is_ok(), context.outcome
    assert context.outcome.ok.changed == count, context.outcome.ok


@then('there is no route "{name}"')
def no_route(context, name):
    assert name not in context.items.route_by_name
    assert "good" not in context.items.route_by_name


@then('route "{name}" is dropped at version {version:d}')
def held_dropped(context, name, version):
    item = context.items.route_by_name[name]
    assert (item.version, item.route) == (version, None), item


@then('route "{name}" is at "{prefix}" at version {version:d}')
def held_at(context, name, prefix, version):
    item = context.items.route_by_name[name]
    assert (item.version, item.route.path_prefix) == (version, prefix), item


def matching_route(context, path):
    for candidate in routes_by_host(context.items).get(HOST, ()):
        if path.startswith(candidate.path_prefix):
            return candidate.name
    return None


@then('the path "{path}" matches route "{name}"')
def matches(context, path, name):
    assert matching_route(context, path) == name


@then('the path "{path}" matches no route')
def matches_none(context, path):
    assert matching_route(context, path) is None


#: No two names share a path prefix, so every patch is valid in every order.
ITEMS = st.builds(
    lambda number, version, dropped: RouteItem(
        name=f"r{number}",
        version=version,
        route=None if dropped else route(f"r{number}", f"/{number}/{version}/"),
    ),
    st.integers(0, 4),
    st.integers(1, 9),
    st.booleans(),
)


def unique(items):
    """Return the items without a second content for a name and version."""
    by_version = {}
    for item in items:
        by_version.setdefault((item.name, item.version), item)
    return list(by_version.values())


@then("any order and repetition of valid patches gives the same items")
def order_does_not_matter(context):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @property_given(
        st.lists(ITEMS, max_size=20).map(unique),
        st.randoms(use_true_random=False),
        st.integers(1, 5),
    )
    def check(items, random, size):
        first = RoutingItems()
        first = merge(first, patch(services=[service_item("s", 1)])).ok.items
        one_by_one = first
        for item in items:
            one_by_one = merge(one_by_one, patch([item])).ok.items
        shuffled = [*items, *random.choices(items, k=len(items))] if items else []
        random.shuffle(shuffled)
        in_parts = first
        for start in range(0, len(shuffled), size):
            part = patch(shuffled[start : start + size])
            in_parts = merge(in_parts, part).ok.items
        assert in_parts.route_by_name == one_by_one.route_by_name

    check()


@then(
    "1000 requests split 90 to 10 never differ from the weights by more than 1 request"
)
def split_parts(context):
    context.split = WeightedSplit()
    context.route = route("split", "/s/", (("a", 90.0), ("b", 10.0)))
    counts = {"a": 0, "b": 0}
    for number in range(1, 1001):
        counts[context.split.next_service(context.route)] += 1
        assert abs(counts["b"] - number * 0.1) <= 1.0, (number, counts)


@then("a change of the weights resets the split")
def split_changes(context):
    changed = route("split", "/s/", (("a", 0.0), ("b", 10.0)))
    chosen = {context.split.next_service(changed) for _ in range(50)}
    assert chosen == {"b"}, chosen


@when("a committed patch sets a route, a service and limits with infinite times")
def infinite_times(context):
    times = {"header_timeout_s": math.inf, "idle_timeout_s": math.inf}
    limits = RequestLimits(
        max_header_bytes=1, max_body_bytes=1, document='{"of":"limits"}', **times
    )
    service = replace(
        service_item("s", 1).service, cold_start_s=math.inf, document='{"of":"s"}'
    )
    long_route = replace(
        route("a", "/a/", timeout_s=math.inf),
        target_latency_s=math.inf,
        document='{"of":"a"}',
    )
    command = PatchRouting(
        operator="op",
        routes=(RouteItem(name="a", version=1, route=long_route),),
        services=(ServiceItem(name="s", version=1, service=service),),
        limits=LimitsItem(version=1, limits=limits),
    )
    context.state.apply(1, wire.unpack(wire.pack(command)).ok)


@then("the route, the service and the limits are in force as they were sent")
def items_in_force(context):
    store = context.state.store
    items = routing_items(store, ItemDecoder())
    table = build_table(items, store, ItemDecoder())
    found = table.find(HOST, "/a/x")
    assert found is not None
    assert math.isfinite(found.timeout_s), found
    assert found.document == '{"of":"a"}'
    assert table.service_by_name["s"].document == '{"of":"s"}'
    assert table.limits is not None
    assert table.limits.document == '{"of":"limits"}'
    # The administration API shows them in milliseconds.
    assert b"null" not in schema.to_json(RoutingDocument.from_items(items).routes)
