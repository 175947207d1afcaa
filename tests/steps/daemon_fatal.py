"""Steps for an instance that can't go on."""

import resource

from behave import given, then, when

from testkit.admin_client import new_change_id
from testkit.contracts import CUSTOMERS, contract_document
from testkit.environment import Environment
from testkit.shape import small

END_TIMEOUT_S = 60.0


@given("a small deployment of the daemon")
def small_deployment(context):
    context.env = context.stack.enter_context(Environment(small()))
    context.env.deployment.start()
    # The replicated log outgrows the log file of the process.
    for customer in CUSTOMERS:
        assert context.env.put_contract(customer).is_accepted


@when('the disk of "{name}" takes no more writes')
def disk_full(context, name):
    instance = context.env.deployment[name]
    files = [item for item in instance.data_folder.rglob("*") if item.is_file()]
    # The log file of the process is smaller and may still grow.
    largest = max(item.stat().st_size for item in files)
    resource.prlimit(instance.process.pid, resource.RLIMIT_FSIZE, (largest, largest))


@when('a change of a contract is sent to "{name}"')
def change_sent(context, name):
    operator = context.env.operator(name)
    document = {**contract_document("rackhaven"), "lookup_lifetime_s": 2.0}
    base = operator.get_contract("rackhaven").revision
    change_id = new_change_id()

    def send():
        return operator.put_contract(document, base_revision=base, change_id=change_id)

    context.send_change = send
    context.reply = send()


@then('the process of "{name}" ends with exit code {code:d}')
def process_ends(context, name, code):
    process = context.env.deployment[name].process
    found = process.wait(END_TIMEOUT_S)
    assert found == code, f"{found}: {process.log_tail()}"


@then("the change is accepted, at the latest when it is sent again")
def is_accepted(context):
    if not context.reply.is_accepted:
        assert context.reply.document["ran"] == "unknown", context.reply
        context.reply = context.send_change()
    assert context.reply.is_accepted, context.reply
