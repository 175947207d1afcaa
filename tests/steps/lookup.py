"""Steps for look-ups."""

import asyncio
import dataclasses
from collections import Counter

import aiohttp
from aiohttp import web
from behave import given, then, when

from mothshunt.configuration.model import Configuration
from mothshunt.core.types import InstanceState
from mothshunt.drain.model import DrainSet
from mothshunt.lookup.const import CLIENT_GROUP_COUNT
from mothshunt.lookup.coordinator import LookupHandler
from mothshunt.lookup.lifetime import AnswerExpiryBound
from mothshunt.lookup.state import EntryTable, client_group
from mothshunt.membership.model import EntryPresence
from mothshunt.metrics.registry import Metrics
from tests.support.limits_world import REGIONS, configuration_of, contract, entry_record

CLIENT_GROUPS = range(0, CLIENT_GROUP_COUNT, 4)


def _presence(record, state=InstanceState.READY, load=0):
    return EntryPresence(record=record, incarnation=1, state=state, load=load)


def _entries(count):
    seats = count // len(REGIONS)
    return [
        _presence(entry_record(f"{region}-{seat}", region, seat, "ab"[seat % 2]))
        for region in REGIONS
        for seat in range(seats)
    ]


def _orders(context):
    context.entry_table.update(tuple(context.entries), context.drains)
    return {
        group: [record.id for record in context.entry_table.entries_for(group)]
        for group in CLIENT_GROUPS
    }


@given('a look-up in "{zone}" among {count:d} entries in 3 regions')
def a_table(context, zone, count):
    context.entry_table = EntryTable(zone.rsplit("-", 1)[0], zone)
    context.entries = _entries(count)
    context.drains = DrainSet()
    context.first = context.before = _orders(context)


@then('every answer lists 3 entries of "{region}" and then one of another region')
def own_region_first(context, region):
    for order in context.first.values():
        in_region = [name.startswith(region) for name in order]
        assert in_region == [True, True, True, False], order


@when('entry "{name}" is lost')
def is_lost(context, name):
    take_out(context, name, "lost")


@when('entry "{name}" is leaving')
def is_leaving(context, name):
    take_out(context, name, "leaving")


@when('entry "{name}" is starting')
def is_starting(context, name):
    take_out(context, name, "starting")


@when('entry "{name}" is drained')
def is_drained(context, name):
    take_out(context, name, "drained")


@when('entry "{name}" is in a drained zone')
def is_in_drained_zone(context, name):
    take_out(context, name, "in a drained zone")


def take_out(context, name, way):
    position = next(i for i, e in enumerate(context.entries) if e.record.id == name)
    entry = context.entries[position]
    context.lost = (position, entry)
    if way == "lost":
        del context.entries[position]
    elif way == "drained":
        context.drains = DrainSet(instances=frozenset({name}))
    elif way == "in a drained zone":
        zones = frozenset({entry.record.availability_zone})
        context.drains = DrainSet(availability_zones=zones)
    else:
        state = InstanceState(way)
        context.entries[position] = dataclasses.replace(entry, state=state)


@when('entry "{name}" is back')
def back(context, name):
    context.entries.insert(*context.lost)


@then('only clients whose first entry was "{name}" got another first entry')
def only_own_share(context, name):
    after = _orders(context)
    moved = [g for g in CLIENT_GROUPS if after[g][0] != context.first[g][0]]
    assert moved, "no client moved"
    assert all(context.first[g][0] == name for g in moved)
    for group in CLIENT_GROUPS:
        rest = [n for n in context.first[group][:3] if n != name]
        kept = [n for n in after[group] if n in rest]
        assert kept == rest, (context.first[group], after[group])


@then("every client has its first answer again")
def as_before(context):
    assert _orders(context) == context.first


@then('"{near}" comes first for about 4 times as many clients as "{other}"')
def larger_share(context, near, other):
    counted = Counter(order[0] for order in context.first.values())
    ratio = counted[near] / counted[other]
    assert 3.2 < ratio < 5.0, counted


@then('no answer lists "{name}"')
def not_listed(context, name):
    assert all(name not in order for order in _orders(context).values())


@when('the loads of "{a}", "{b}" and "{c}" are {x:d}, {y:d} and {z:d}')
def loads(context, a, b, c, x, y, z):
    load_by_name = {a: x, b: y, c: z}
    context.before = _orders(context)
    context.entries = [
        dataclasses.replace(entry, load=load_by_name.get(entry.record.id, 0))
        for entry in context.entries
    ]


@then('"{name}" keeps some clients and no client moved between the others')
def hands_over(context, name):
    after = _orders(context)
    moved = [g for g in CLIENT_GROUPS if after[g][0] != context.before[g][0]]
    assert moved, "no client moved"
    assert all(context.before[g][0] == name for g in moved)
    assert any(order[0] == name for order in after.values())


@then("no client moved")
def no_client_moved(context):
    assert _orders(context) == context.before


@then('"{a}", "{b}" and "{c}" are in one group of clients')
def one_group(context, a, b, c):
    groups = {client_group(address) for address in (a, b, c)}
    assert len(groups) == 1, groups
    assert None not in groups


@then('"{a}" and "{b}" are in one group of clients')
def same_group(context, a, b):
    assert client_group(a) == client_group(b) is not None


@then('"{a}" and "{b}" and "" are in no group of clients')
def no_group(context, a, b):
    assert [client_group(address) for address in (a, b, "")] == [None] * 3


def _with_lifetime(lifetime_s):
    item = dataclasses.replace(contract(10), lookup_lifetime_s=lifetime_s)
    return configuration_of(item, [])


@given("contracts whose longest look-up lifetime is {seconds:d} seconds")
def lifetime(context, seconds):
    context.bound = AnswerExpiryBound()
    context.bound.update(Configuration(), 0.0)
    context.bound.update(_with_lifetime(seconds), 1.0)


@when("it is lowered to {seconds:d} seconds at {now:d}")
def lowered(context, seconds, now):
    context.bound.update(_with_lifetime(seconds), now)


@then("an entry that no answer lists since {since:d} may be used until {end:d}")
def used_until(context, since, end):
    assert context.bound.latest_expiry(since) == end, context.bound.latest_expiry(since)


class _Served:
    """Look-up handler behind a real HTTP server."""

    def __init__(self):
        self.configuration = _with_lifetime(5)
        self.entries_now = tuple(_entries(9))
        self.ready = True
        self.handler = LookupHandler(
            region="north",
            availability_zone="north-a",
            entries=self,
            configuration=self,
            is_ready=lambda: self.ready,
            metrics=Metrics(),
        )

    def current(self):
        return self.configuration

    def entries(self):
        return self.entries_now

    def get(self, query):
        return asyncio.run(self._async_get(query))

    async def _async_get(self, query):
        app = web.Application()
        app.router.add_get("/v1/lookup", self.handler.async_handle)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        url = f"http://127.0.0.1:{runner.addresses[0][1]}/v1/lookup?{query}"
        try:
            async with aiohttp.ClientSession() as session, session.get(url) as answer:
                return answer.status, dict(answer.headers), await answer.json()
        finally:
            await runner.cleanup()


@given("a running look-up handler")
def running(context):
    context.served = _Served()


@then('"{query}" is answered with a lifetime')
def answered(context, query):
    status, _, document = context.served.get(query)
    assert status == 200, (status, document)
    assert document["lifetime_ms"] == 5000, document
    assert len(document["entries"]) == 4, document
    first = document["entries"][0]
    assert first["region"] == "north", first
    assert first["port"] == 8000, first


@then('"{query}" is refused with status {status:d} and code {code:d}')
def refused(context, query, status, code):
    found, headers, document = context.served.get(query)
    assert (found, document["code"]) == (status, code), (found, document)
    assert headers["Mothshunt-Code"] == str(code), headers
    assert headers["Mothshunt-Ran"] == document["ran"] == "no", headers
    assert ("Retry-After" in headers) == (status == 503), headers


@when("the lifetime of the contract changes")
def lifetime_changes(context):
    context.served.configuration = _with_lifetime(9)


@then("the next answer has the new lifetime")
def new_lifetime(context):
    query = "customer=sleman&service=inventory&client=10.0.0.1"
    _, _, document = context.served.get(query)
    assert document["lifetime_ms"] == 9000, document


@when("every entry is drained")
def all_drained(context):
    drains = DrainSet(regions=frozenset(REGIONS))
    served = context.served
    served.configuration = dataclasses.replace(served.configuration, drains=drains)


@when("the instance is not ready")
def not_ready(context):
    context.served.ready = False
