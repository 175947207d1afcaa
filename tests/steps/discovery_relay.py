"""Steps for the relay of news of targets."""

from behave import given, then, when

from mothshunt.core.types import InstanceId
from mothshunt.discovery.load_budget import LoadBudget
from mothshunt.discovery.messages import (
    AnnouncedLoad,
    LoadRow,
    RowState,
    TargetRow,
    TargetRows,
)
from mothshunt.discovery.relay import Receiver, TargetRelay
from tests.support.recording_network import ManualClock, RecordingNetwork
from tests.support.targets import announcement


@given(
    'a relay at "{own}" with "{a}" of {region_a} and "{b}" of {region_b} attached, '
    'and "{peer}" as peer'
)
def relay(context, own, a, region_a, b, region_b, peer):
    context.network = RecordingNetwork()
    context.clock = ManualClock()
    receivers = [Receiver(id=a, region=region_a), Receiver(id=b, region=region_b)]
    context.relay = TargetRelay(
        own_id=InstanceId(own),
        network=context.network,
        clock=context.clock,
        reachable=lambda: frozenset({a, b}),
        receivers=lambda: receivers,
        control_peers=lambda: [peer],
        take_locally=lambda rows: None,
    )


@when('"{peer}" tells of "{target}" of north and of its load {load:d}')
def tells(context, peer, target, load):
    row = TargetRow(
        owner=peer, state=RowState.SERVING, announcement=announcement(target, 1)
    )
    reported = LoadRow(target=target, incarnation=1, load=AnnouncedLoad(in_flight=load))
    context.relay.handle(peer, TargetRows(rows=(row,), loads=(reported,)))


@when("the relay flushes its loads")
def flushes(context):
    context.relay.flush_loads(context.clock.monotonic())


@when("{seconds:d} s pass")
def pass_time(context, seconds):
    context.clock.now += seconds


def rows_told(context, peer):
    news = context.network.posted_by_peer.get(peer, [])
    return [row.announcement.target for item in news for row in item.rows]


def loads_told(context, peer):
    news = context.network.posted_by_peer.get(peer, [])
    return {load.target: load.load for item in news for load in item.loads}


@then('"{a}" and "{b}" were told of "{target}"')
def were_told(context, a, b, target):
    assert rows_told(context, a) == [target], rows_told(context, a)
    assert rows_told(context, b) == [target], rows_told(context, b)


@then('"{peer}" was told the load of "{target}"')
def told_load(context, peer, target):
    assert target in loads_told(context, peer)


@then('"{peer}" was told the load of "{target}" with an age of {age:d} ms')
def told_aged(context, peer, target, age):
    assert loads_told(context, peer)[target].age_ms == age


@then('"{peer}" was not told the load of "{target}"')
def not_told_load(context, peer, target):
    assert target not in loads_told(context, peer)


@then('"{peer}" was told nothing')
def told_nothing(context, peer):
    assert not context.network.posted_by_peer.get(peer)


@given("a budget of load reports")
def budget(context):
    context.budget = LoadBudget()


@when("loads of {count:d} targets are reported, and those of {again:d} again")
def reported(context, count, again):
    names = [f"t{number:03d}" for number in range(count)]
    context.budget.add(names)
    context.budget.add(names[:again])
    context.names = names


@then("flushes of {size:d} give the first {first:d} targets, then the other {rest:d}")
def flushes_give(context, size, first, rest):
    assert context.budget.take(size) == context.names[:first]
    assert context.budget.take(size) == context.names[first : first + rest]
    assert context.budget.take(size) == []
