"""Steps for the attempts that are left to a relayed request."""

import asyncio
from dataclasses import dataclass, field, replace
from random import Random
from types import SimpleNamespace

from behave import given, then, when

from mothshunt.core.codes import Failure
from mothshunt.core.types import InstanceId, Ran, RegionId
from mothshunt.forwarding.model import HeaderNames, RoutedRequest
from mothshunt.forwarding.request import max_attempts
from mothshunt.forwarding.retry import RetryState
from mothshunt.isolation import codes
from mothshunt.isolation.coordinator import EntryIsolation
from mothshunt.membership.roster_messages import EntryRow
from mothshunt.metrics.registry import Metrics
from mothshunt.routing.model import RequestKind
from testkit.routed_entry import route
from tests.steps.forwarding_workspaces import workspace
from tests.support.recording_network import ManualClock


@dataclass
class LosingRelayClient:
    """Client whose relays are all lost; it notes the attempts of each."""

    attempts: list = field(default_factory=list)

    async def async_send(self, request, entry, max_attempts):
        self.attempts.append(max_attempts)
        return Failure(code=codes.RELAY_BROKEN, ran=Ran.UNKNOWN)


def entry_row(name, region="north"):
    return EntryRow(
        instance=InstanceId(name),
        region=RegionId(region),
        availability_zone=f"north-{name}",
        host="127.0.0.1",
        port=1,
        is_ready=True,
    )


@given(
    "{kind} request that may be sent to {allowed:d} targets, with {tried:d} tried and"
    " {trying:d} being tried"
)
def request_with_attempts(context, kind, allowed, tried, trying):
    context.is_idempotent = kind == "an idempotent"
    context.retry_state = RetryState(
        is_idempotent=context.is_idempotent,
        max_attempts=allowed,
        targets_tried=tried,
        targets_trying=trying,
    )


def isolated_entry(rows, client):
    roster = SimpleNamespace(
        own=SimpleNamespace(row=entry_row("a")),
        ready_entries=lambda now: [SimpleNamespace(row=row) for row in rows],
    )
    return EntryIsolation(
        placement=None,
        roster=roster,
        target_pool=None,
        relay_client=client,
        budget=None,
        slack_part=None,
        set_reported_state=None,
        metrics=Metrics(),
        clock=ManualClock(),
        random=Random(7),
    )


@when('it is relayed to "{names}" and each relay is lost')
def relayed_in_vain(context, names):
    context.client = LosingRelayClient()
    rows = [entry_row(name) for name in names.split(", ")]
    isolation = isolated_entry(rows, context.client)
    plain_route = SimpleNamespace(is_idempotent=context.is_idempotent, home_regions=())
    outgoing = SimpleNamespace(
        routed=SimpleNamespace(
            deadline=105.0, route=plain_route, home_regions=frozenset()
        ),
        body=SimpleNamespace(is_consumed=False),
    )
    relay = SimpleNamespace(outgoing=outgoing)
    asyncio.run(isolation._async_relay(relay, context.retry_state))


@then('the relays were allowed "{attempts}" targets')
def relays_allowed(context, attempts):
    expected = [] if attempts == "none" else [int(a) for a in attempts.split(", ")]
    assert context.client.attempts == expected, context.client.attempts


@then("no further target may be tried here")
def none_here(context):
    state = context.retry_state
    used = state.targets_tried + state.targets_trying
    assert state.max_attempts <= used, state


@given(
    "a relayed request of a route with {count:d} attempts that states"
    ' "{stated}" attempts'
)
def relayed_request(context, count, stated):
    names = HeaderNames()
    headers = {names.relayed: "a"}
    if stated != "none":
        headers[names.relayed_attempts] = stated
    route = SimpleNamespace(max_attempts=count)
    context.allowed = max_attempts(headers, names, route)


@then("it may be sent to {count:d} targets")
def may_be_sent(context, count):
    assert context.allowed == count, context.allowed


def regions_of(text):
    return () if text == "all" else tuple(RegionId(r) for r in text.split(", "))


@given('a request of a route for "{route_homes}" and of a workspace for "{homes}"')
def request_with_homes(context, route_homes, homes):
    stock = route("stock", "/stock/", RequestKind.NON_IDEMPOTENT)
    context.routed = RoutedRequest(
        request_id="r-1",
        route=replace(stock, home_regions=regions_of(route_homes)),
        service="s",
        method="POST",
        target="/stock/a",
        affinity_key=None,
        received_at=100.0,
        deadline=105.0,
        workspace=workspace(regions=regions_of(homes)),
    )


@when('it is to be relayed from "north" to instances of "{first}" and "{second}"')
def to_be_relayed(context, first, second):
    rows = [entry_row("a"), entry_row("b", first), entry_row("c", second)]
    outgoing = SimpleNamespace(routed=context.routed)
    relay = SimpleNamespace(outgoing=outgoing)
    context.candidates = isolated_entry(rows, None)._candidates(relay)


@then('it may be relayed to "{regions}"')
def may_be_relayed(context, regions):
    found = {row.region for row in context.candidates}
    assert found == (set() if regions == "none" else set(regions_of(regions))), found
