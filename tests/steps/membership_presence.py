"""Steps for the presence of instances."""

from behave import given, then, when

from mothshunt.core.types import InstanceId, InstanceState
from mothshunt.membership.messages import Report, Row
from mothshunt.membership.state import PresenceTable, load_bucket


@given('the presence table of control instance "{instance}"')
def presence_table(context, instance):
    context.presence = PresenceTable(own_id=InstanceId(instance))


@when(
    '"{instance}" reports "{state}" with incarnation {incarnation:d} '
    "and attach {attach:d} at {at:f} s"
)
def reports(context, instance, state, incarnation, attach, at):
    report = Report(
        instance=instance,
        incarnation=incarnation,
        attach=attach,
        state=InstanceState(state),
        load=0,
        revision=1,
    )
    context.presence.record_report(report, at)
    if at == 0.0:
        context.presence.publish(at)


@when(
    '"{hub}" announces "{instance}" as "{state}" with incarnation {incarnation:d} '
    "and attach {attach:d} at {at:f} s"
)
def announces(context, hub, instance, state, incarnation, attach, at):
    row = Row(
        instance=instance,
        incarnation=incarnation,
        attach=attach,
        change=0,
        state=None if state == "lost" else InstanceState(state),
        load=0,
    )
    context.presence.merge_row(row, InstanceId(hub))
    context.presence.publish(at)


@when('the stream of "{instance}" closes at {at:f} s')
def stream_closes(context, instance, at):
    context.presence.detach(InstanceId(instance), at)


@when('the stream to "{hub}" closes at {at:f} s')
def hub_closes(context, hub, at):
    context.presence.record_hub_disconnect(InstanceId(hub), at)


@when('the stream to "{hub}" is back')
def hub_reconnects(context, hub):
    context.presence.record_hub_reconnect(InstanceId(hub))


@when("presence is published at {at:f} s")
def published(context, at):
    context.presence.publish(at)


@then('"{instance}" is published as "{state}"')
def published_as(context, instance, state):
    row = context.presence.published_by_instance[InstanceId(instance)]
    found = "lost" if row.state is None else row.state.value
    assert found == state, row


@then("nothing new is published at {at:f} s")
def nothing_new(context, at):
    rows = context.presence.publish(at)
    assert rows == (), rows


@then("a load of {load:d} is reported as {told:d}")
def load_reported(context, load, told):
    assert load_bucket(load) == told
