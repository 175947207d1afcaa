"""Steps for the removal of instances."""

from behave import given

from mothshunt.configuration.messages import JoinInstance
from mothshunt.core.types import Role
from mothshunt.util import wire
from tests.support.admin_records import record_instance


@given('the instance "{name}" joined the replicated configuration')
def joined(context, name):
    record = record_instance(context.admin, name, Role.ENTRY)
    command = wire.pack(JoinInstance(record=record))
    context.admin.loop.run(context.admin.log.async_propose(command, 1.0))


@given('the instance "{name}" is lost')
def is_lost(context, name):
    context.admin.status.lost.add(name)
