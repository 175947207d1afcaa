"""Steps for failures of control instances that agree."""

import asyncio
import shutil
from random import Random

from behave import then, when

from mothshunt.consensus import codes
from mothshunt.consensus.coordinator import ConsensusCoordinator
from mothshunt.consensus.model import Voter
from mothshunt.core.clock import SystemClock
from mothshunt.core.types import Ran
from mothshunt.metrics.registry import Metrics
from tests.support.consensus_net import CONFIG, CommandList, FakeNetwork

TIMEOUT_S = 20.0
SHORT_TIMEOUT_S = 1.0


def kill(context, name):
    context.killed = name
    context.log.run(context.log.async_kill(name))


def lose_disk(context, name):
    context.lost = name
    context.log.run(context.log.async_kill(name))
    shutil.rmtree(context.log.folder / name)


@when("{name} proposes {count:d} numbered commands")
def propose_numbered(context, name, count):
    log = context.log
    if name == "a remaining control instance":
        name = next(iter(log.coordinator_by_id))
    coordinator = log.coordinator_by_id[name.strip('"')]
    first = getattr(context, "numbered", 0)
    context.numbered = first + count

    async def async_propose_all():
        for number in range(first, first + count):
            result = await coordinator.async_propose(str(number).encode(), TIMEOUT_S)
            assert result.is_ok(), (number, result, log.describe())

    log.run(async_propose_all())


@then("every control instance has applied {count:d} numbered commands")
def numbered_applied(context, count):
    log = context.log
    expected = [str(number).encode() for number in range(count)]

    def is_done():
        return all(
            log.commands_by_id[name].commands == expected
            for name in log.coordinator_by_id
        )

    log.run(log.async_until(is_done, TIMEOUT_S))


@when("the disk of a follower of the log is lost")
def follower_disk_lost(context):
    lose_disk(context, context.log.follower())


@when("the disk of the leader of the log is lost")
def leader_disk_lost(context):
    lose_disk(context, context.log.leader())


@when("a follower of the log is killed")
def follower_killed(context):
    kill(context, context.log.follower())


@when('the control instance "{name}" of the log is killed')
def named_killed(context, name):
    kill(context, name)


@when("the lost control instance starts with an empty folder")
def starts_empty(context):
    context.log.run(context.log.async_start(context.lost))


@when("the lost control instance starts with an empty folder and votes again")
def starts_empty_and_votes(context):
    log = context.log
    starts_empty(context)
    coordinator = log.coordinator_by_id[context.lost]
    log.run(log.async_until(lambda: coordinator.status().state != "learner", TIMEOUT_S))


@then("no control instance leads within {seconds:d} seconds")
def nobody_leads(context, seconds):
    log = context.log

    async def async_watch():
        # The one that is left may go on leading until it notices its loss.
        await asyncio.sleep(seconds)
        assert not log.leaders(), log.describe()

    log.run(async_watch())


@then('proposing "{text}" on every control instance fails and surely did not run')
def proposing_not_run(context, text):
    for coordinator in context.log.coordinator_by_id.values():
        result = context.log.run(
            coordinator.async_propose(text.encode(), SHORT_TIMEOUT_S)
        )
        assert result.is_error(), result
        assert result.error.code is codes.NO_LEADER, result.error
        assert result.error.ran is Ran.NO, result.error
        assert result.error.retry_after_s, result.error


@then("the killed control instance has installed a snapshot")
def snapshot_installed(context):
    metrics = context.log.metrics_by_id[context.killed]
    assert metrics.counter_value("mothshunt_consensus_snapshots_installed_total") > 0


@when("the leader of the log is cut off")
def leader_cut_off(context):
    log = context.log
    context.cut_off = log.leader()
    others = [name for name in log.names if name != context.cut_off]
    log.hub.isolate(context.cut_off, others)


@then("the cut off control instance confirms no read and no leadership")
def nothing_confirmed(context):
    log = context.log
    coordinator = log.coordinator_by_id[context.cut_off]
    for call in (coordinator.async_read_barrier, coordinator.async_confirm_leadership):
        result = log.run(call(SHORT_TIMEOUT_S))
        assert result.is_error(), result
        assert result.error.retry_after_s, result.error


@then('proposing "{text}" on the cut off control instance fails')
def cut_off_propose(context, text):
    coordinator = context.log.coordinator_by_id[context.cut_off]
    result = context.log.run(coordinator.async_propose(text.encode(), SHORT_TIMEOUT_S))
    assert result.is_error(), result


@when('another control instance than the one cut off proposes "{text}"')
def other_proposes(context, text):
    log = context.log
    name = next(name for name in log.names if name != context.cut_off)
    coordinator = log.coordinator_by_id[name]
    # A command forwarded to the leader that was cut off has an unknown outcome.
    log.run(
        log.async_until(
            lambda: coordinator.status().leader not in (None, context.cut_off)
        )
    )
    result = log.run(coordinator.async_propose(text.encode(), TIMEOUT_S))
    assert result.is_ok(), result


@when("the cut off control instance is reached again")
def reached_again(context):
    context.log.hub.cut.clear()
    context.term = context.log.coordinator_by_id[context.log.leader()].status().term


@then('the log applied everywhere is "{first}" or "{second}"')
def applied_either(context, first, second):
    log = context.log
    allowed = [
        [text.strip().encode() for text in texts.split(",")]
        for texts in (first, second)
    ]

    def is_done():
        lists = [log.commands_by_id[name].commands for name in log.coordinator_by_id]
        return lists[0] in allowed and all(commands == lists[0] for commands in lists)

    log.run(log.async_until(is_done, TIMEOUT_S))


@then("the term of the log stays the same for {seconds:d} seconds")
def term_stays(context, seconds):
    log = context.log
    log.run(asyncio.sleep(seconds))
    terms = {c.status().term for c in log.coordinator_by_id.values()}
    assert terms == {context.term}, (terms, context.term)


@then("every control instance confirms a read")
def reads_confirmed(context):
    log = context.log
    for coordinator in log.coordinator_by_id.values():
        result = log.run(coordinator.async_read_barrier(TIMEOUT_S))
        assert result.is_ok(), result


@when("the leader of the log stops gracefully, twice")
def stops_twice(context):
    log = context.log
    name = log.leader()
    coordinator = log.coordinator_by_id[name]
    context.asked_by_id = {
        other: pre_votes(log, other) for other in log.names if other != name
    }

    async def async_stop_twice():
        await asyncio.gather(coordinator.async_stop(), coordinator.async_stop())

    log.run(async_stop_twice())
    log.run(log.async_stop(name))


def pre_votes(log, name):
    return log.metrics_by_id[name].counter_value(
        "mothshunt_consensus_role_changes_total", role="pre_candidate"
    )


@then("no remaining control instance asked for pre-votes after the stop")
def no_pre_votes(context):
    for name, before in context.asked_by_id.items():
        assert pre_votes(context.log, name) == before, name


@when('"{name}" starts and is added as a voter')
def voter_added(context, name):
    log = context.log
    log.run(log.async_start(name))
    voter = Voter(id=name, host="127.0.0.1", port=9000 + len(log.names))
    coordinator = log.coordinator_by_id[log.names[0]]
    result = log.run(coordinator.async_add_voter(voter, TIMEOUT_S))
    assert result.is_ok(), (result, log.describe())


@when('the voter "{name}" of the log is removed')
def voter_removed(context, name):
    log = context.log
    coordinator = log.coordinator_by_id[log.names[-1]]
    result = log.run(coordinator.async_remove_voter(name, TIMEOUT_S))
    assert result.is_ok(), (result, log.describe())


@then('the voters of the log are "{names}"')
def voters_are(context, names):
    log = context.log
    expected = [name.strip() for name in names.split(",")]

    def is_done():
        statuses = [
            coordinator.status()
            for name, coordinator in log.coordinator_by_id.items()
            if name in expected
        ]
        return all([v.id for v in s.voters] == expected for s in statuses)

    log.run(log.async_until(is_done, TIMEOUT_S))


@then("a coordinator that never started stops twice without an error")
def never_started(context):
    log = context.log

    async def async_stop_unstarted():
        coordinator = ConsensusCoordinator.from_config(
            settings=log.settings("z", ["z"]),
            network=FakeNetwork(log.hub, "z"),
            state_machine=CommandList(),
            clock=SystemClock(),
            metrics=Metrics(),
            config=CONFIG,
            random=Random(1),
        )
        await coordinator.async_stop()
        await coordinator.async_stop()

    log.run(async_stop_unstarted())
