"""Steps for changes of the configuration."""

from dataclasses import replace

from behave import given, then, when

from mothshunt.configuration.delivery import Beat, Delta
from mothshunt.configuration.messages import Change, JoinInstance, LeaveInstance
from mothshunt.configuration.mirror import ConfigurationMirror
from mothshunt.configuration.model import ItemKey, Section
from mothshunt.configuration.state import ReplicatedConfiguration
from mothshunt.core.types import Role
from mothshunt.membership.model import InstanceRecord


@given("a replicated configuration")
def replicated(context):
    context.state = ReplicatedConfiguration()
    context.joined = {}


@given("a copy of the configuration")
def copy(context):
    context.mirror = ConfigurationMirror()


@when(
    '"{operator}" changes "{customer}" by "{change}" based on {base:d} at index {at:d}'
)
def changes(context, operator, customer, change, base, at):
    command = Change(
        change_id=change,
        operator=operator,
        key=ItemKey(section=Section.CONTRACT, name=customer),
        base_revision=base,
        value=f"{operator} {customer}".encode(),
        summary="",
        made_at_unix_ms=0,
    )
    context.outcome = context.state.apply(at, command)


@when("the configuration is restored from its snapshot")
def restored(context):
    plain = context.state.snapshot()
    context.state = ReplicatedConfiguration()
    context.state.restore(0, plain)


@when('"{instance}" of "{region}" joins at index {at:d}')
def joins(context, instance, region, at):
    record = InstanceRecord(
        id=instance,
        region=region,
        availability_zone=f"{region}-a",
        roles=(Role.ENTRY,),
        traffic_host="127.0.0.1",
        traffic_port=1,
        admin_host="127.0.0.1",
        admin_port=2,
        peer_host="127.0.0.1",
        peer_port=3,
        seat=0,
    )
    context.joined[instance] = context.state.apply(at, JoinInstance(record=record))


@when('"{instance}" leaves at index {at:d}')
def leaves(context, instance, at):
    context.state.apply(at, LeaveInstance(instance=instance))


def delta(context, since):
    store = context.state.store
    return Delta(
        from_revision=since,
        to_revision=store.revision,
        digest=store.digest,
        items=store.changed_since(since),
    )


@when("the copy gets the delta since {since:d}")
def gets_delta(context, since):
    context.need = context.mirror.apply(delta(context, since))


@when("the copy gets an old delta to {revision:d}")
def gets_old(context, revision):
    old = replace(delta(context, 0), to_revision=revision, items=())
    context.need = context.mirror.apply(old)


@when("an item of the copy is damaged")
def damaged(context):
    store = context.mirror.store
    item = next(iter(store.item_by_key.values()))
    store.replace(store.revision, [replace(item, value=b"other")])


@then('the last outcome is "{status}" at {revision:d} and {repeated}')
def outcome_is(context, status, revision, repeated):
    outcome = context.outcome
    assert outcome.status.value == status, outcome
    assert outcome.revision == revision, outcome
    assert outcome.repeated == (repeated == "repeated"), outcome


@then('the last outcome names the winner "{operator}" and "{change}"')
def names_winner(context, operator, change):
    assert context.outcome.operator == operator, context.outcome
    assert context.outcome.change_id == change, context.outcome


@then("the revision is {revision:d}")
def revision_is(context, revision):
    assert context.state.store.revision == revision


@then('"{instance}" has seat {seat:d} and incarnation {number:d}')
def has_seat(context, instance, seat, number):
    joined = context.joined[instance]
    assert (joined.seat, joined.incarnation) == (seat, number), joined


@then('the copy needs "{need}" and holds revision {revision:d}')
def copy_needs(context, need, revision):
    assert context.need.value == need, context.need
    assert context.mirror.store.revision == revision, context.mirror.store.revision


@then('the next beat makes the copy ask for "{need}"')
def beat_needs(context, need):
    store = context.state.store
    beat = Beat(revision=store.revision, digest=store.digest, confirmed_age_ms=0)
    assert context.mirror.check(beat).value == need
