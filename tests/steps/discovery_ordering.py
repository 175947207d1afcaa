"""Steps for the order of rows of targets."""

from behave import given, then, when

from mothshunt.core.types import InstanceId
from mothshunt.discovery.announcements import Announcements
from mothshunt.discovery.messages import RowState, TargetRow
from mothshunt.discovery.state import TargetTable
from tests.support.targets import announcement


@given("a target table")
def target_table(context):
    context.target_table = TargetTable()


@given('an instance "{instance}" that receives announcements')
def receives_announcements(context, instance):
    context.announcements = Announcements(InstanceId(instance), TargetTable())


@when(
    '"{target}" incarnation {number:d} arrives as "{state}" from "{owner}" at {at:d} s'
)
def arrives(context, target, number, state, owner, at):
    row = TargetRow(
        owner=owner, state=RowState(state), announcement=announcement(target, number)
    )
    context.target_table.apply_row(row, float(at))


@when('the table is swept at {at:d} s with only "{instance}" reachable')
def swept(context, at, instance):
    context.target_table.sweep({InstanceId(instance)}, float(at))


@when('"{target}" incarnation {number:d} announces itself at {at:d} s')
def announces(context, target, number, at):
    result = context.announcements.announce(announcement(target, number), float(at))
    assert result.is_ok(), result


def live(context, target):
    targets = context.target_table.targets("rackhaven", "cabinet-status")
    return {t.id: t.state.value for t in targets}.get(target)


@then('"{target}" is not known as live')
def not_live(context, target):
    assert live(context, target) is None, live(context, target)


@then('"{target}" is known as "{state}"')
def known_as(context, target, state):
    assert live(context, target) == state, live(context, target)


@then('at {at:d} s the lease of "{target}" expires, and no other')
def lease_expires(context, at, target):
    rows = context.announcements.expire_leases(float(at))
    assert [row.announcement.target for row in rows] == [target], rows
    assert rows[0].state is RowState.LAPSED
