"""Steps for calls that wait in their sockets."""

import socket
import threading
import time

from behave import given, then, when

from mothshunt.configuration.model import ItemKey, Section
from mothshunt.consensus.model import Voter
from mothshunt.helpers.http_listener import HttpListener
from mothshunt.platform.endpoints import ControlEndpoints
from mothshunt.platform.readiness import refuse_malformed
from mothshunt.registry.messages import Renewal
from mothshunt.routing.messages import SetEvacuation
from tests.support.admin_deployment import AdminDeployment

ZONE = "north-a"
#: Time in which a call that is run wrongly would have been, in seconds.
SETTLED_S = 0.3


@given("a control instance with an administration API and the platform's calls")
def control_instance(context):
    admin = context.admin = AdminDeployment(context.stack, is_routed=True)
    context.admin_port = admin.start()
    context.port_by_interface = {"administration": context.admin_port}
    endpoints = ControlEndpoints(admin.control, {ZONE: "north"})
    listener = HttpListener(
        host="127.0.0.1",
        port=0,
        handler=endpoints.async_handle,
        on_malformed=refuse_malformed,
    )
    admin.loop.run(listener.async_start())
    context.stack.callback(lambda: admin.loop.run(listener.async_stop()))
    context.port_by_interface["platform"] = listener.port


@given('availability zone "{zone}" is evacuated')
def zone_is_evacuated(context, zone):
    context.admin.loop.call(confirm, context.admin, f"evacuate {zone}")


def confirm(admin, changes):
    """Apply what other control instances sent: changes of zones, and renewals."""
    for change in filter(None, changes.split(", ")):
        if change.startswith("incarnation"):
            renew(admin, change.split()[-1], int(change.split()[1]))
            continue
        admin.log.index += 1
        zone = change.split()[-1]
        key = ItemKey(section=Section.EVACUATION, name=zone)
        command = SetEvacuation(
            operator="op",
            availability_zone=zone,
            is_evacuated=change.startswith("evacuate"),
            base_revision=admin.state.store.revision_of(key),
        )
        assert admin.state.apply(admin.log.index, command).is_accepted


@given('the other instances confirm "{changes}"')
def others_confirm(context, changes):
    context.admin.loop.call(confirm, context.admin, changes)


@when('the caller sends "{call}", and closes {pause_s:g} s later')
def sends_and_closes(context, call, pause_s):
    context.call = call
    connection = send(context)
    time.sleep(pause_s)
    connection.close()


@given('target "{target}" has incarnation {incarnation:d}')
def target_has(context, target, incarnation):
    context.admin.loop.call(renew, context.admin, target, incarnation)


def renew(admin, target, incarnation):
    renewal = Renewal(
        target=target,
        incarnation=incarnation,
        sequence=1,
        service="stock",
        host="127.0.0.1",
        port=8080,
        region="north",
        availability_zone=ZONE,
    )
    admin.control.intake.publisher.renew(renewal)


@then('target "{target}" is retired')
def target_is_retired(context, target):
    time.sleep(SETTLED_S)
    assert retired(context.admin) == [target]


@then("no target is retired")
def no_target_is_retired(context):
    assert retired(context.admin) == []


def retired(admin):
    items = admin.state.store.present_items(Section.RETIRED_TARGET)
    return [item.key.name for item in items]


@when("the event loop is blocked for {blocked_s:g} s, and in this time")
def blocked(context, blocked_s):
    what = dict([context.table.headings, *context.table.rows])
    is_blocked = threading.Event()

    def block():
        is_blocked.set()
        time.sleep(blocked_s)
        # What other instances sent is applied before the call is read.
        confirm(context.admin, what.get("other instances confirm", ""))

    blocking = threading.Thread(target=context.admin.loop.call, args=(block,))
    blocking.start()
    is_blocked.wait()
    context.call = what.get("caller sends") or what["caller sends and closes"]
    connection = send(context)
    if "caller sends" not in what:
        connection.close()
    blocking.join()
    if "caller sends" in what:
        context.answer = read(connection)


@when("reads of the log take {read_s:g} s, and {pause_s:g} s after a call begins")
def slow_reads(context, read_s, pause_s):
    what = dict([context.table.headings, *context.table.rows])
    context.admin.log.read_s = read_s
    context.call, _, name = what["caller sends"].partition(" by ")
    connection = send(context, context.token_by_operator[name])
    time.sleep(pause_s)
    confirmed = what["other instances confirm"]
    context.admin.loop.call(confirm, context.admin, confirmed)
    context.answer = read(connection)


@when("{pause_s:g} s later the same call is sent again")
def sent_again(context, pause_s):
    time.sleep(pause_s)
    context.answer = read(send(context))


def send(context, token=None):
    interface, method, path, *body = context.call.split(" ", 3)
    content = "".join(body)
    address = ("127.0.0.1", context.port_by_interface[interface])
    connection = socket.create_connection(address, timeout=5.0)
    context.stack.callback(connection.close)
    head = f"{method} {path} HTTP/1.1\r\nHost: control\r\n"
    length = f"Content-Length: {len(content)}\r\n"
    token = f"Authorization: Bearer {token or context.admin.token}\r\n"
    connection.sendall(f"{head}{length}{token}\r\n{content}".encode())
    return connection


def read(connection):
    answer = connection.recv(65536).decode()
    return int(answer.split()[1]), answer


@then("the call is refused with 503 and code {code:d}")
def refused(context, code):
    status, answer = context.answer
    assert status == 503, answer
    assert f"Mothshunt-Code: {code}\r\nMothshunt-Ran: no\r\n" in answer, answer


@then("the call is answered with 200")
def answered(context):
    assert context.answer[0] == 200, context.answer


@then('availability zone "{zone}" stays evacuated')
def stays_evacuated(context, zone):
    time.sleep(SETTLED_S)
    assert evacuated(context.admin) == (zone,)


@then('availability zone "{zone}" isn\'t evacuated')
def not_evacuated(context, zone):
    assert evacuated(context.admin) == ()


def evacuated(admin):
    return admin.loop.run(admin.control.routing.async_evacuated_zones()).ok


@given("the names of the voters are {names}")
def voters_are(context, names):
    context.admin.log.voters = tuple(
        Voter(id=name, host="127.0.0.1", port=1) for name in names.split(", ")
    )


@then("the names of the voters stay {names}")
def voters_stay(context, names):
    time.sleep(SETTLED_S)
    assert ", ".join(voter.id for voter in context.admin.log.voters) == names
