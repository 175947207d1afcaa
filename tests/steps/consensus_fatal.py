"""Steps for control instances whose disk or state fails."""

import asyncio
import errno
import shutil
import time

from behave import given, then, when

from mothshunt.consensus.applying import CommandApplier
from mothshunt.consensus.config import ConsensusConfig
from mothshunt.consensus.introduction import Introduction
from mothshunt.consensus.log import Log
from mothshunt.consensus.types import Entry, EntryKind, Snapshot
from mothshunt.consensus.voters import EMPTY
from mothshunt.consensus.waiting import ProposalWaiters
from mothshunt.core.types import Ran
from mothshunt.metrics.registry import Metrics

TIMEOUT_S = 15.0


def fail(context, name):
    context.failed_id = name
    context.fatal = []
    context.log.coordinator_by_id[name].on_fatal(context.fatal.append)


def working(context):
    return [name for name in context.log.coordinator_by_id if name != context.failed_id]


@when("the disk of the leader of the log refuses writes")
def disk_refuses(context):
    disk_refuses_late(context, seconds=0.0)


@when("the disk of the leader of the log refuses writes after {seconds:g} s")
def disk_refuses_late(context, seconds):
    name = context.log.leader()
    fail(context, name)

    def write(writes):
        time.sleep(seconds)
        raise OSError(errno.ENOSPC, "no space left on device")

    context.log.coordinator_by_id[name]._writer._storage.write = write


@when("all instances of the log stand still for {seconds:g} s")
def stand_still(context, seconds):
    # Blocks the event loop that all instances share.
    time.sleep(seconds)


@when("the state of a follower of the log refuses commands")
def state_refuses(context):
    name = context.log.follower()
    fail(context, name)

    def apply(index, command):
        raise KeyError("a fault of the state")

    context.log.commands_by_id[name].apply = apply


def fail_once(owner, name):
    """Replace a method by one that fails at its next call."""
    method = getattr(owner, name)

    def failing(*arguments):
        setattr(owner, name, method)
        raise KeyError("a fault of the code")

    setattr(owner, name, failing)


@when("the processing of what was synced of a follower of the log fails once")
def processing_fails(context):
    name = context.log.follower()
    fail(context, name)
    fail_once(context.log.coordinator_by_id[name]._driver.node, "synced")


@when("the timer of a follower of the log fails once")
def timer_fails(context):
    name = context.log.follower()
    fail(context, name)
    driver = context.log.coordinator_by_id[name]._driver
    # Only the timer calls this, while messages and writes also ask when it is due.
    fail_once(driver.node, "tick")
    driver.node.due_at = lambda: float("-inf")
    context.log.loop.call_soon(driver._tick)


@when('"{name}" loses its disk, and its first introduction fails')
def introduction_fails(context, name):
    log = context.log
    log.run(log.async_kill(name))
    shutil.rmtree(log.folder / name)
    step = Introduction._async_step

    async def fail_step(introduction):
        Introduction._async_step = step
        raise KeyError("a fault of the code")

    Introduction._async_step = fail_step
    context.stack.callback(setattr, Introduction, "_async_step", step)
    log.run(log.async_start(name))


@then('"{name}" has applied "{texts}"')
def has_applied(context, name, texts):
    log = context.log
    log.run(
        log.async_until(
            lambda: log.commands_by_id[name].commands == split(texts), TIMEOUT_S
        )
    )


@then('"{text}" is proposed on the failed control instance, its outcome told truly')
def proposing_on_failed(context, text):
    """Hold what is told against what the others apply, and against the own log.

    The other two are a majority: they may accept a command before the own disk fails.
    """
    log = context.log
    command = text.encode()
    coordinator = log.coordinator_by_id[context.failed_id]
    result = log.run(coordinator.async_propose(command, TIMEOUT_S))
    context.never_run = set()
    context.surely_run = set()
    if result.is_ok():
        context.surely_run.add(command)
        return
    if result.error.ran is Ran.NO:
        assert not holds(coordinator, command), result.error
        context.never_run.add(command)
        return
    assert result.error.ran is Ran.UNKNOWN, result.error


def holds(coordinator, command):
    """Tell whether an instance took a command into its log."""
    state = coordinator._driver.state
    entries = state.log.entries(1, state.log.last_index)
    return any(entry.data == command for entry in entries)


@then("the failed control instance reported code {number:d} and does not lead")
def reported(context, number):
    log = context.log
    log.run(log.async_until(lambda: bool(context.fatal), TIMEOUT_S))
    assert [failure.code.number for failure in context.fatal] == [number]
    status = log.coordinator_by_id[context.failed_id].status()
    assert status.state != "leader", status
    assert status.leader is None, status


@when('a working control instance proposes "{text}"')
def working_proposes(context, text):
    log = context.log
    coordinator = log.coordinator_by_id[working(context)[0]]
    log.run(
        log.async_until(
            lambda: coordinator.status().leader in working(context), TIMEOUT_S
        )
    )
    result = log.run(coordinator.async_propose(text.encode(), TIMEOUT_S))
    assert result.is_ok(), result


@then('the working control instances have applied "{first}", perhaps "{text}" between')
def working_applied_perhaps(context, first, text):
    before, after = split(first)
    command = text.encode()
    allowed = []
    if command not in context.surely_run:
        allowed.append([before, after])
    if command not in context.never_run:
        allowed.append([before, command, after])
    working_have_applied(context, allowed)


@then('the working control instances have all applied "{texts}"')
def working_applied(context, texts):
    working_have_applied(context, [split(texts)])


def split(texts):
    return [text.strip().encode() for text in texts.split(",")]


def working_have_applied(context, allowed):
    log = context.log

    def is_done():
        lists = [log.commands_by_id[name].commands for name in working(context)]
        return lists[0] in allowed and all(commands == lists[0] for commands in lists)

    log.run(log.async_until(is_done, TIMEOUT_S))


class LargeState:
    def __init__(self, size):
        self.size = size

    def apply(self, index, command):
        return b""

    def snapshot(self):
        return b"x" * self.size

    def restore(self, index, snapshot):
        self.size = len(snapshot)


@given(
    "a state of {size:d} bytes and snapshots after {least:d} commands, {most:d} at most"
)
def large_state(context, size, least, most):
    context.consensus_config = ConsensusConfig(
        snapshot_after_entries=least, snapshot_after_entries_at_most=most
    )
    context.size = size


@then(
    "with commands of {size:d} bytes the next snapshot is due after {count:d} commands"
)
def snapshot_due(context, size, count):
    applier = CommandApplier(
        state_machine=LargeState(context.size),
        config=context.consensus_config,
        metrics=Metrics(),
    )
    data = b"x" * context.size
    applier.restore(Snapshot(index=5, term=1, membership=EMPTY, data=data))
    applied = 0
    while not applier.is_snapshot_due():
        applied += 1
        command = Entry(
            term=1, index=5 + applied, kind=EntryKind.COMMAND, data=b"y" * size
        )
        applier.apply([command])
    assert applied == count, applied


@given(
    "a log of {small:d} entries of {small_size:d} bytes, then {large:d} of"
    " {large_size:d} bytes"
)
def log_of_entries(context, small, small_size, large, large_size):
    sizes = [small_size] * small + [large_size] * large
    context.log = Log(0, 0)
    context.log.append(
        [
            Entry(term=1, index=index, kind=EntryKind.COMMAND, data=b"x" * size)
            for index, size in enumerate(sizes, start=1)
        ]
    )


@when("it is compacted at its last entry")
def log_compacted(context):
    config = ConsensusConfig()
    last = context.log.last_index
    base = context.log.oldest_base(last, config.keep_entries, config.keep_bytes)
    context.log.compact(base)


@then("it keeps the last {count:d} entries")
def log_keeps(context, count):
    assert context.log.last_index - context.log.base_index == count


@given("a command that waits for index {index:d} of term {term:d}")
def command_waits(context, index, term):
    context.event_loop = asyncio.new_event_loop()
    context.stack.callback(context.event_loop.close)
    context.waiters = ProposalWaiters()
    context.outcome = context.event_loop.create_future()
    context.waiters.add(index, term, context.outcome)


@when(
    "this instance leads again and appends another command at index {index:d}"
    " of term {term:d}"
)
def another_appended(context, index, term):
    context.waiters.add(index, term, context.event_loop.create_future())


@when("an entry of term {term:d} is applied at index {index:d}")
def another_applied(context, term, index):
    context.waiters.applied(index, term, b"outcome of another command")


@then("the outcome of the first command is unknown")
def outcome_unknown(context):
    assert context.outcome.result().error.ran is Ran.UNKNOWN


@then("the first command surely did not run")
def surely_not_run(context):
    assert context.outcome.result().error.ran is Ran.NO
