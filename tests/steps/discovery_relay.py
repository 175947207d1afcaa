"""Steps for the relay of changed targets and of loads."""

from behave import given, then, when

from mothshunt.core.types import InstanceId
from mothshunt.discovery.load_budget import LoadReportQueue
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
        apply_locally=lambda rows: None,
    )


@when('"{peer}" sends "{target}" of north and its load {load:d}')
def sends(context, peer, target, load):
    row = TargetRow(
        owner=peer, state=RowState.SERVING, announcement=announcement(target, 1)
    )
    reported = LoadRow(target=target, incarnation=1, load=AnnouncedLoad(in_flight=load))
    context.relay.on_rows(peer, TargetRows(rows=(row,), loads=(reported,)))


@when("the relay flushes its loads")
def flushes(context):
    context.relay.flush_loads(context.clock.monotonic())


@when("{seconds:d} s pass")
def pass_time(context, seconds):
    context.clock.now += seconds


def rows_sent(context, peer):
    messages = context.network.posted_by_peer.get(peer, [])
    return [row.announcement.target for item in messages for row in item.rows]


def loads_sent(context, peer):
    messages = context.network.posted_by_peer.get(peer, [])
    return {load.target: load.load for item in messages for load in item.loads}


@then('"{a}" and "{b}" were sent "{target}"')
def were_sent(context, a, b, target):
    assert rows_sent(context, a) == [target], rows_sent(context, a)
    assert rows_sent(context, b) == [target], rows_sent(context, b)


@then('"{peer}" was sent the load of "{target}"')
def sent_load(context, peer, target):
    assert target in loads_sent(context, peer)


@then('"{peer}" was sent the load of "{target}" with an age of {age:d} ms')
def sent_aged(context, peer, target, age):
    assert loads_sent(context, peer)[target].age_ms == age


@then('"{peer}" was not sent the load of "{target}"')
def not_sent_load(context, peer, target):
    assert target not in loads_sent(context, peer)


@then('"{peer}" was sent nothing')
def sent_nothing(context, peer):
    assert not context.network.posted_by_peer.get(peer)


@given("a queue of load reports")
def load_queue(context):
    context.load_queue = LoadReportQueue()


@when("loads of {count:d} targets are reported, and those of {again:d} again")
def reported(context, count, again):
    names = [f"t{number:03d}" for number in range(count)]
    context.load_queue.add(names)
    context.load_queue.add(names[:again])
    context.names = names


@then("flushes of {size:d} give the first {first:d} targets, then the other {rest:d}")
def flushes_give(context, size, first, rest):
    assert context.load_queue.pop(size) == context.names[:first]
    assert context.load_queue.pop(size) == context.names[first : first + rest]
    assert context.load_queue.pop(size) == []
