"""Steps for the delivery of the configuration."""

from dataclasses import dataclass

from behave import given, then, when

from mothshunt.configuration.delivery import Beat, Delta, DeltaRequest, Subscribe
from mothshunt.configuration.follower import ConfigurationFollower
from mothshunt.configuration.holder import ConfigurationHolder
from mothshunt.configuration.model import ItemKey, Section
from mothshunt.configuration.publisher import ConfigurationPublisher
from mothshunt.configuration.service import Item
from mothshunt.configuration.state import ReplicatedConfiguration
from tests.support.recording_network import ManualClock, RecordingNetwork


@dataclass
class NoLog:
    """Replacement of the replicated log; the test changes the state directly."""


def put_item(context, revision):
    key = ItemKey(section=Section.EVACUATION, name=f"zone-{revision}")
    value = f'{{"availability_zone": "zone-{revision}", "is_evacuated": true}}'
    context.state.store.put(Item(key=key, revision=revision, value=value.encode()))
    context.state.store.revision = revision


@given("a publisher of the configuration with {count:d} items")
def publisher(context, count):
    context.network = RecordingNetwork()
    context.state = ReplicatedConfiguration()
    context.publisher = ConfigurationPublisher(
        context.state, NoLog(), ConfigurationHolder(), context.network, ManualClock()
    )
    for revision in range(1, count + 1):
        put_item(context, revision)
    context.publisher._on_applied(count)


@when('"{name}" subscribes at revision {revision:d} and wants changes')
def subscribes(context, name, revision):
    context.publisher._on_subscribe(name, Subscribe(revision=revision))


@when('"{name}" subscribes at revision {revision:d} and wants beats only')
def subscribes_to_beats(context, name, revision):
    wanted = Subscribe(revision=revision, wants_changes=False)
    context.publisher._on_subscribe(name, wanted)


@when("an item is changed at revision {revision:d}")
def item_changed(context, revision):
    put_item(context, revision)
    context.publisher._on_applied(revision)


@when('"{name}" asks for what came after revision {revision:d}')
def asks(context, name, revision):
    context.publisher._on_delta_request(name, DeltaRequest(revision=revision))


@then('"{name}" was last sent the items up to revision {revision:d}')
def last_sent_items(context, name, revision):
    last = context.network.posted_by_peer[name][-1]
    assert isinstance(last, Delta), last
    assert last.to_revision == revision, last
    assert last.items, last


@given('the queue to "{name}" is full')
@when('the queue to "{name}" is full')
def queue_full(context, name):
    context.network.full_peers.add(name)


@when('the queue to "{name}" has room')
def queue_has_room(context, name):
    context.network.full_peers.discard(name)


@when("the next beat is due")
def beat_due(context):
    context.publisher.send_beats()


@then(
    '"{name}" was sent the items after revision {since:d} up to revision {revision:d}'
    " once"
)
def sent_items_once(context, name, since, revision):
    deltas = [m for m in context.network.posted_by_peer[name] if isinstance(m, Delta)]
    newest = [d for d in deltas if d.to_revision == revision]
    assert [d.from_revision for d in newest] == [since], deltas


@then('"{name}" was last sent a beat')
def last_sent_beat(context, name):
    assert isinstance(context.network.posted_by_peer[name][-1], Beat)


@given("a follower of the configuration that holds revision 0")
def follower(context):
    context.network = RecordingNetwork()
    context.follower = ConfigurationFollower(
        ConfigurationHolder(), context.network, None, ManualClock()
    )


@when('control "{control}" sends it a beat of revision {revision:d}')
def sends_beat(context, control, revision):
    beat = Beat(revision=revision, digest=1, confirmed_age_ms=10)
    context.follower._on_beat(control, beat)


@when('it subscribes at "{control}", which sends it a beat of revision {revision:d}')
def subscribes_and_gets_beat(context, control, revision):
    context.follower.subscribe(control, wants_changes=False)
    sends_beat(context, control, revision)


@then('it asked "{control}" for what came after revision {revision:d}')
def it_asked(context, control, revision):
    asked = context.network.posted_by_peer[control][-1]
    assert asked == DeltaRequest(revision=revision), asked


@when('control "{control}" confirms revision {revision:d} as of {age_s:g} s ago')
def confirms(context, control, revision, age_s):
    beat = Beat(revision=revision, digest=0, confirmed_age_ms=round(age_s * 1000))
    context.follower._on_beat(control, beat)


@when('it gets what "{control}" holds at revision {revision:d}')
def gets_delta(context, control, revision):
    delta = Delta(from_revision=0, to_revision=revision, digest=0, items=())
    context.follower._on_delta(control, delta)


def is_current(context, after_s=0.0):
    follower = context.follower
    return follower.holder.is_current(follower.clock.monotonic() + after_s)


@then("it is not sure that its configuration is current")
def not_current(context):
    assert not is_current(context)


@then("it is sure that its configuration is current")
def current(context):
    assert is_current(context)


@then(
    "it is sure for {sure_s:g} s that its configuration is current, and after"
    " {unsure_s:g} s no more"
)
def current_until(context, sure_s, unsure_s):
    assert is_current(context, sure_s)
    assert not is_current(context, unsure_s)


@when(
    "control instances send it beats of revision {revision:d}, {gap_s:g} s apart, for"
    " {length_s:g} s"
)
def sends_beats(context, revision, gap_s, length_s):
    for number in range(round(length_s / gap_s)):
        beat = Beat(revision=revision, digest=1, confirmed_age_ms=10)
        context.follower._on_beat(f"c{number % 5}", beat)
        context.follower.clock.now += gap_s


def requests_after(context, revision):
    sent = [m for posted in context.network.posted_by_peer.values() for m in posted]
    return [m for m in sent if m == DeltaRequest(revision=revision)]


@then("it asked for what came after revision {revision:d} at most {count:d} times")
def asked_at_most(context, revision, count):
    asked = requests_after(context, revision)
    assert 1 <= len(asked) <= count, len(asked)


@then("it asked for what came after revision {revision:d} once")
def asked_once(context, revision):
    asked = requests_after(context, revision)
    assert len(asked) == 1, len(asked)


@then('"{one}" and "{other}" were sent the same message')
def same_message(context, one, other):
    posted = context.network.posted_by_peer
    assert posted[one][-1] is posted[other][-1]
