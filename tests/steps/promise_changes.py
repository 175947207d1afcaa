"""Steps for changes of the configuration under failures."""

import threading
import time

from behave import given, then, when

from testkit.admin_client import Operator, new_change_id
from testkit.contracts import contract_document
from testkit.environment import IN_FORCE_TARGET_S
from testkit.ports import HOST
from testkit.process import wait_until
from testkit.proxy import Direction, FaultProxy
from tests.support.change_stream import ATTEMPT_TIMEOUT_MS, ChangeStream, find_change
from tests.support.revision_watch import RevisionWatch

#: Time in which the control instances must accept changes again after a fault.
ACCEPT_AGAIN_S = 30
#: Time in which silent streams must be found and dialled anew, plus the target for a
#: change to be in force.
REPAIRED_S = 20 + IN_FORCE_TARGET_S


def operators(context, instances=None):
    chosen = instances or context.env.deployment.control_instances
    return [Operator(item, timeout_ms=ATTEMPT_TIMEOUT_MS) for item in chosen]


@given("the revisions of all instances are watched")
def watched(context):
    context.watch = RevisionWatch(context.env.deployment.instances)
    context.watch.start()
    context.stack.callback(context.watch.stop)


@when("an operator changes the contract again and again")
def stream(context):
    context.stream = ChangeStream(context.customer, operators(context))
    context.stream.start()
    context.stack.callback(context.stream.stop)
    some_accepted(context, 5)


@then("further changes are accepted")
@when("further changes are accepted")
def further(context):
    some_accepted(context, 5)


def some_accepted(context, count):
    wanted = len(context.stream.accepted) + count
    wait_until(
        lambda: len(context.stream.accepted) >= wanted,
        ACCEPT_AGAIN_S,
        f"{count} further changes are accepted",
    )


@when("{count:d} changes are made")
def changes_made(context, count):
    running = [
        item
        for item in context.env.deployment.control_instances
        if item.process.is_running()
    ]
    if not hasattr(context, "stream"):
        context.stream = ChangeStream(context.customer, operators(context, running))
    context.stream.make(count)


@then("the newest accepted change is in force on all instances in time")
def newest_in_force(context):
    accepted = context.stream.stop()
    context.env.wait_in_force(accepted[-1].revision, timeout_s=REPAIRED_S)


@then("a further change is in force on all instances within the stated target")
def within_target(context):
    accepted = context.stream.make(1)[-1]
    took_s = context.env.wait_in_force(accepted.revision)
    assert took_s <= IN_FORCE_TARGET_S, took_s


@then("no accepted change is lost")
def none_lost(context):
    everyone = operators(context)
    for item in context.stream.accepted:
        reply = find_change(everyone, item.change_id)
        assert reply.is_accepted, (item, reply)
        assert reply.revision == item.revision, (item, reply)
    revisions = [item.revision for item in context.stream.accepted]
    assert revisions == sorted(set(revisions)), revisions


@then("each instance shows the last accepted contract")
def shows_last(context):
    last = context.stream.accepted[-1]
    for item in context.env.deployment.control_instances:
        reply = context.env.operator(item.id).get_contract(context.customer)
        assert reply.status == 200, reply
        found = reply.document["contract"]["retry"]["minimum_per_s"]
        assert (reply.revision, found) == (last.revision, last.marker), (reply, last)


@then("no instance went back to an older revision")
def none_went_back(context):
    assert not context.watch.stop(), context.watch.reverts


@when("{count:d} operators change the contract on one revision at the same time")
def race(context, count):
    base = context.env.operator().get_contract(context.customer).revision
    everyone = operators(context)
    barrier = threading.Barrier(count)
    context.replies = {}

    def one(number):
        document = contract_document(context.customer)
        document["retry"]["minimum_per_s"] = float(number + 1)
        change_id = f"race-{number}"
        barrier.wait()
        context.replies[change_id] = everyone[number % len(everyone)].put_contract(
            document, base_revision=base, change_id=change_id
        )

    threads = [threading.Thread(target=one, args=(n,)) for n in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("one of them wins and the others learn which one")
def one_wins(context):
    won = [name for name, reply in context.replies.items() if reply.is_accepted]
    assert len(won) == 1, context.replies
    for name, reply in context.replies.items():
        if name not in won:
            assert reply.is_conflict, (name, reply)
            assert reply.document["winner"]["change_id"] == won[0], (name, reply)
    shown = context.env.operator().get_contract(context.customer).document
    number = int(won[0].removeprefix("race-"))
    assert shown["contract"]["retry"]["minimum_per_s"] == number + 1, shown


@when("each of {count:d} changes is sent twice, with the first answer lost")
def sent_twice(context, count):
    context.twice = []
    for number in range(count):
        context.twice.append(send_twice(context, number))


def send_twice(context, number):
    control = context.env.deployment.control_instances
    first, second = control[number % len(control)], control[(number + 1) % len(control)]
    base = context.env.operator().get_contract(context.customer).revision
    document = contract_document(context.customer)
    document["retry"]["minimum_per_s"] = float(number + 1)
    change_id = new_change_id()
    url = answers_lost_url(context, first)
    lost = Operator(first, url=url, timeout_ms=100, grace_s=0.9).put_contract(
        document, base_revision=base, change_id=change_id
    )
    assert lost.status == 0, lost
    again = Operator(second).put_contract(
        document, base_revision=base, change_id=change_id
    )
    return change_id, base, again


def answers_lost_url(context, item):
    """Return a URL of an instance whose answers never arrive."""
    loop = context.env.deployment.loop
    proxy = FaultProxy(HOST, item.admin_port)
    port = loop.run(proxy.async_start())
    loop.call(proxy.cut, (Direction.TO_CLIENT,))
    context.stack.callback(lambda: loop.run(proxy.async_stop()))
    return f"http://{HOST}:{port}"


@then("each is one change with one answer")
def one_change_each(context):
    for change_id, base, again in context.twice:
        assert again.is_accepted, (change_id, again)
        found = context.env.operator().get_change(change_id)
        assert found.revision == again.revision, (change_id, found, again)
        assert again.revision > base, (base, again)
    revisions = [again.revision for _, _, again in context.twice]
    assert revisions == sorted(set(revisions)), revisions


@when("operators try both sides for longer than every time-out")
def both_sides(context):
    cut_off = context.cut
    others = [
        item
        for item in context.env.deployment.control_instances
        if item.id != cut_off.id
    ]
    context.stream = ChangeStream(context.customer, operators(context, others))
    context.cut_replies = []
    context.cut_reads = []
    end_at = time.monotonic() + 15
    while time.monotonic() < end_at:
        context.stream.make(3)
        newest = context.stream.accepted[-1]
        lonely = Operator(cut_off, timeout_ms=500)
        document = contract_document(context.customer)
        change_id = new_change_id()
        reply = lonely.put_contract(
            document, base_revision=newest.revision, change_id=change_id
        )
        context.cut_replies.append((change_id, reply))
        context.cut_reads.append((newest, lonely.get_contract(context.customer)))


@then("the side that is cut off accepted nothing and showed nothing old")
def cut_side(context):
    for change_id, reply in context.cut_replies:
        assert not reply.is_accepted, (change_id, reply)
    for newest, reply in context.cut_reads:
        assert reply.status != 200 or reply.revision >= newest.revision, reply


@then("what was told about the cut-off side's changes is true")
def cut_side_told(context):
    for change_id, reply in context.cut_replies:
        found = find_change(operators(context), change_id)
        if reply.is_certain_no:
            assert found.status == 404, (change_id, reply, found)


@when("changes and reads are sent to the frozen instance, and others are accepted")
def during_freeze(context):
    others = [
        item
        for item in context.env.deployment.control_instances
        if item.id != context.frozen.id
    ]
    context.stream = ChangeStream(context.customer, operators(context, others))
    context.stream.make(1)
    context.late = []
    threads = [
        threading.Thread(target=ask_frozen, args=(context, number), daemon=True)
        for number in range(6)
    ]
    for thread in threads:
        thread.start()
    end_at = time.monotonic() + 15
    while time.monotonic() < end_at:
        context.stream.make(3)
        time.sleep(0.5)
    context.late_threads = threads
    context.newest_before_wake = context.stream.accepted[-1]


def ask_frozen(context, number):
    operator = Operator(context.frozen, timeout_ms=30_000)
    if number % 2:
        context.late.append(("read", operator.get_contract(context.customer)))
        return
    document = contract_document(context.customer)
    base = context.stream.accepted[0].revision
    reply = operator.put_contract(
        document, base_revision=base, change_id=f"frozen-{number}"
    )
    context.late.append((f"frozen-{number}", reply))


@then("the woken instance accepts nothing on an old revision and shows nothing old")
def woken(context):
    for thread in context.late_threads:
        thread.join(90)
    assert len(context.late) == len(context.late_threads), context.late
    for what, reply in context.late:
        if what == "read":
            newest = context.newest_before_wake.revision
            assert reply.status != 200 or reply.revision >= newest, reply
        else:
            assert not reply.is_accepted, (what, reply)


@then("the killed instance first says ready at the newest accepted revision")
def ready_at_newest(context):
    newest = context.stream.accepted[-1].revision
    seen = []

    def is_ready():
        if not context.killed.is_ready():
            return False
        seen.append(context.killed.revision())
        return True

    wait_until(is_ready, 60, f"{context.killed.id} is ready", 0.01)
    assert seen[0] >= newest, (seen, newest)
