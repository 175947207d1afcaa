"""Steps for the rounds of elections."""

from behave import given, then, when

from mothshunt.consensus import election
from mothshunt.consensus.messages import Heartbeat
from tests.support.consensus_timed import TimedNodes
from tests.support.consensus_world import World

WAY_S, SYNC_S = 0.001, 0.001
SETTLED_S = 3.0
#: Longest time for which a test goes on, in seconds.
LIMIT_S = 30.0


@given("a voter of the replicated log")
def voter(context):
    context.world = World(seed=7)
    context.now = 10_000.0
    process = next(iter(context.world.process_by_id.values()))
    context.node = process.node


@when("it stands for election {count:d} times without a majority")
def stands(context, count):
    context.waits = []
    for _ in range(count):
        context.now += 3.0
        state = context.node.state
        election.start_election(state, context.now)
        context.waits.append(state.election_due - context.now)


@when("it hears from a leader of a later term")
def hears(context):
    state = context.node.state
    heartbeat = Heartbeat(
        term=state.term + 1,
        source=state.replica + 1,
        destination=state.replica,
        round=1,
        commit_index=0,
    )
    context.node._on_leader_message("leader", heartbeat, context.now)


@then("its next round comes after {least:g} to {most:g} s")
def next_round(context, least, most):
    wait_s = context.node.state.election_due - context.now
    assert least - 1e-6 <= wait_s <= most + 1e-6, wait_s


@then("the last {count:d} waits for its next round spread over {least:g} s or more")
def waits_spread(context, count, least):
    waits = context.waits[-count:]
    assert max(waits) - min(waits) >= least, waits


def elect(context, down=()):
    context.nodes = TimedNodes(7, context.names, WAY_S, SYNC_S, down)
    context.nodes.run_until_led(LIMIT_S)
    context.nodes.run_until(lambda: False, context.nodes.now + SETTLED_S)
    context.leader = context.nodes.leader()


@given('voters "{names}" of which one leads')
def led_voters(context, names):
    context.names = names.split(", ")
    elect(context)
    context.follower = next(n for n in context.names if n != context.leader)


def follower_progress(context):
    node = context.nodes.node_by_id[context.leader]
    replica = context.nodes.node_by_id[context.follower].state.replica
    return node, node.state.leading.progress_by_replica[replica]


@when("a follower misses an entry")
def misses_entry(context):
    nodes = context.nodes
    way = (context.leader, context.follower)
    nodes.cut.add(way)
    nodes.propose(context.leader, b"missed")
    nodes.cut.discard(way)


@when("a follower misses the first entries of a term")
def misses_first_entries(context):
    context.follower = context.names[-1]
    elect(context, down=(context.follower,))
    context.nodes.start(context.follower)


@when("a follower misses a part of a snapshot")
def misses_chunk(context):
    nodes = context.nodes
    way = (context.leader, context.follower)
    nodes.cut.add(way)
    nodes.propose(context.leader, b"missed")
    node, progress = follower_progress(context)
    nodes.run_until(lambda: node.state.commit_index == node.state.log.last_index)
    node.compact(node.state.commit_index, b"state", nodes.now)
    node.state.log.compact(node.state.commit_index)
    # The answer to a heartbeat makes the leader send the snapshot, which is lost.
    nodes.cut.discard(way)
    nodes.run_until(lambda: progress.sending is not None)
    nodes.lose_messages_on_their_way()


@when("the voter that is to take over is cut off")
def hand_over_in_vain(context):
    nodes = context.nodes
    node = nodes.node_by_id[context.leader]
    for name in nodes.node_by_id:
        nodes.cut.add((context.leader, name))
    nodes.perform(context.leader, node.transfer(nodes.now))
    nodes.cut.clear()


@when("the log is read every {interval_s:g} s from then on")
def read_often(context, interval_s):
    context.began_at = context.nodes.now
    context.nodes.read_each(context.leader, interval_s)


@given('voters "{names}" of which "{late}" start after one leads')
def late_voters(context, names, late):
    context.names = names.split(", ")
    context.late = late.split(", ")
    elect(context, down=context.late)
    for name in context.late:
        context.nodes.start(name)


@when("{seconds:g} s later all others but the leader are cut off")
def others_cut_off(context, seconds):
    nodes = context.nodes
    nodes.run_until(lambda: False, nodes.now + seconds)
    for name in set(context.names) - {context.leader, *context.late}:
        for other in context.names:
            nodes.cut.update({(name, other), (other, name)})


@then("a command is committed within {most_s:g} s")
def command_committed(context, most_s):
    nodes = context.nodes
    began_at, node = nodes.now, nodes.node_by_id[context.leader]
    assert nodes.propose(context.leader, b"later")
    last = node.state.log.last_index
    nodes.run_until(lambda: node.state.commit_index >= last)
    assert nodes.now - began_at <= most_s, nodes.now - began_at


@then("the follower holds all entries within {most_s:g} s")
def holds_all(context, most_s):
    node, progress = follower_progress(context)
    nodes = context.nodes
    nodes.run_until(lambda: progress.match >= node.state.log.last_index)
    assert nodes.now - context.began_at <= most_s, nodes.now - context.began_at


@then("the leader takes commands again within {most_s:g} s")
def takes_commands(context, most_s):
    nodes = context.nodes
    leading = nodes.node_by_id[context.leader].state.leading
    nodes.run_until(lambda: not leading.transfer_to)
    assert nodes.now - context.began_at <= most_s, nodes.now - context.began_at
    assert nodes.propose(context.leader, b"later")
