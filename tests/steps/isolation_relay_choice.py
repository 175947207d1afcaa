"""Steps for the choice of the entry instances that a request is relayed to."""

from collections import Counter
from random import Random

from behave import given, then, when

from mothshunt.core.types import InstanceId, RegionId
from mothshunt.isolation import const
from mothshunt.isolation.choice import may_withdraw, relay_candidates
from mothshunt.membership.roster_messages import EntryRow

NOW = 100.0


def split(names):
    return [name.strip() for name in names.split(",")]


@given("entry instances")
def instances(context):
    context.row_by_name = {
        row["name"]: EntryRow(
            instance=InstanceId(row["name"]),
            region=RegionId(row["region"]),
            availability_zone=row["zone"],
            host="127.0.0.1",
            port=1,
            is_ready=True,
        )
        for row in context.table
    }
    context.avoided = {}


@given('"{names}" refused a relay')
def refused(context, names):
    until = NOW + const.AVOID_S / 2
    context.avoided = {InstanceId(name): until for name in split(names)}


@when("{count:d} requests of a route for all regions are relayed")
def relayed_anywhere(context, count):
    relay(context, count, frozenset())


@when('{count:d} requests of a route for "{regions}" are relayed')
def relayed(context, count, regions):
    relay(context, count, frozenset(RegionId(r) for r in split(regions)))


def relay(context, count, regions):
    random, rows = Random(7), context.row_by_name
    context.chosen = [
        relay_candidates(
            rows.values(), rows["own"], regions, context.avoided, NOW, random
        )
        for _ in range(count)
    ]


@then('"{names}" are chosen first, each at least {count:d} times')
def chosen_first(context, names, count):
    found = Counter(rows[0].instance for rows in context.chosen)
    assert set(found) == set(split(names)), found
    assert min(found.values()) >= count, found


@then("no request is relayed to more than {count:d} instances")
def most(context, count):
    assert max(len(rows) for rows in context.chosen) <= count


@then("no instance is chosen")
def none_chosen(context):
    assert not any(context.chosen), context.chosen


@given('the look-ups name "{names}"')
def named(context, names):
    context.named = [context.row_by_name[name] for name in split(names)]


@then("an isolated instance may withdraw")
def may(context):
    assert may_withdraw(context.named, context.row_by_name["own"])


@then("an isolated instance must not withdraw")
def must_not(context):
    assert not may_withdraw(context.named, context.row_by_name["own"])
