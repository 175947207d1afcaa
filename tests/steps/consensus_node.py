"""Steps for the decisions of single nodes."""

from random import Random

from behave import given, then, when

from mothshunt.consensus.messages import (
    Append,
    AppendAnswer,
    VoteRequest,
)
from mothshunt.consensus.node import Node
from mothshunt.consensus.state import NodeState
from mothshunt.consensus.types import (
    DurableState,
    Entry,
    EntryKind,
    HardState,
    Snapshot,
)
from mothshunt.consensus.voters import Member, Membership
from tests.support.consensus_process import CONFIG, INITIAL
from tests.support.consensus_world import World

SEED = 11


@given('pure nodes "a, b, c" with a leader')
def nodes_with_leader(context):
    print(f"seed of the nodes: {SEED}")
    context.world = World(SEED)
    run_until(context, lambda: len(context.world.leaders()) == 1)
    context.world.propose()
    run_until(context, lambda: is_level(context.world))
    context.leader = context.world.leaders()[0]
    context.term = context.leader.node.state.term


def run_until(context, condition, seconds=60.0):
    world = context.world
    until = world.time + seconds
    while not condition():
        assert world.time < until, world.describe()
        world.run(5)


def run_for(context, seconds):
    until = context.world.time + seconds
    while context.world.time < until:
        context.world.run(5)


def is_level(world):
    members = [world.process_by_id[name] for name in INITIAL]
    return world.history and all(
        process.node.state.commit_index == len(world.history) for process in members
    )


def follower(context):
    return next(
        context.world.process_by_id[name]
        for name in INITIAL
        if name != context.leader.id
    )


def cut_off(context, process):
    others = [name for name in context.world.process_by_id if name != process.id]
    context.world.cut |= {frozenset((process.id, other)) for other in others}


@when("a follower node is cut off for {seconds:d} seconds")
def follower_cut_off(context, seconds):
    context.cut_off = follower(context)
    cut_off(context, context.cut_off)
    run_for(context, seconds)


@then("its term is still that of the leader")
def term_unchanged(context):
    assert context.cut_off.node.state.term == context.term


@when("the cuts between the nodes are mended for {seconds:d} seconds")
def cuts_mended(context, seconds):
    context.world.cut.clear()
    run_for(context, seconds)


@then("the leader and the term of the nodes are the same")
def same_leader(context):
    assert context.world.leaders() == [context.leader], context.world.describe()
    assert context.leader.node.state.term == context.term


@then("a follower node leaves a vote request of a higher term without an answer")
def vote_ignored(context):
    world = context.world
    voter = follower(context)
    candidate = next(
        world.process_by_id[name]
        for name in INITIAL
        if name not in (voter.id, context.leader.id)
    )
    for pre_vote in (True, False):
        request = VoteRequest(
            term=context.term + 5,
            source=candidate.replica,
            destination=voter.replica,
            last_index=1000,
            last_term=context.term,
            pre_vote=pre_vote,
        )
        outputs = voter.node.receive(candidate.id, request, world.now(voter))
        assert not outputs.messages, outputs.messages
        assert not outputs.writes, outputs.writes
        assert voter.node.state.term == context.term


@when("the leader node is cut off for {seconds:d} seconds")
def leader_cut_off(context, seconds):
    cut_off(context, context.leader)
    run_for(context, seconds)


@then("that node does not lead, and its term is unchanged")
def stepped_down(context):
    state = context.leader.node.state
    assert state.leading is None
    assert state.term == context.term


@when("the leader node is cut off and asked for a read at once")
def cut_off_and_read(context):
    context.world.messages.clear()
    cut_off(context, context.leader)
    process = context.leader
    context.reads = []
    outputs = process.node.read([1], context.world.now(process))
    context.reads += outputs.reads


@then("the read is never answered with an index")
def read_unanswered(context):
    world = context.world
    process = context.leader
    while process.node.state.leading is not None:
        world.time += 0.05
        outputs = process.node.tick(world.now(process))
        context.reads += outputs.reads
    assert [(r.token, r.index) for r in context.reads] == [(1, None)], context.reads


@when("the leader node is asked for a read while an earlier round is on its way")
def read_in_round(context):
    world = context.world
    process = context.leader
    run_until(context, lambda: not world.messages)
    world.time = due_time(world, process)
    world.perform(process, process.node.tick(world.now(process)))
    context.earlier = list(world.messages)
    world.messages.clear()
    outputs = process.node.read([1], world.now(process))
    assert not outputs.reads, outputs.reads
    context.later = [(process.id, o.peer, o.message) for o in outputs.messages]


def due_time(world, process):
    due_at = process.node.due_at()
    return max(world.time, (due_at - process.clock_offset) / process.clock_rate + 0.001)


def answers_to(context, messages):
    """Let the followers answer, and give their answers to the leader."""
    world = context.world
    reads = []
    for source, destination, message in messages:
        process = world.process_by_id[destination]
        outputs = process.node.receive(source, message, world.now(process))
        for outgoing in outputs.messages:
            answered = context.leader.node.receive(
                process.id, outgoing.message, world.now(context.leader)
            )
            reads += answered.reads
    return reads


@then("the answers to the earlier round do not confirm it")
def not_confirmed(context):
    assert answers_to(context, context.earlier) == []
    confirmed = answers_to(context, context.later)
    assert [read.token for read in confirmed] == [1], confirmed
    assert confirmed[0].index == len(context.world.history)


@when("another node takes over and is asked for a read before its first commit")
def take_over(context):
    world = context.world
    context.accepted = len(world.history)
    world.crash(context.leader.id)
    run_until(context, lambda: bool(world.leaders()))
    successor = world.leaders()[0]
    state = successor.node.state
    assert state.commit_index < state.leading.first_index
    world.asked_by_token[1] = context.accepted
    outputs = successor.node.read([1], world.now(successor))
    assert not outputs.reads, outputs.reads
    world.perform(successor, outputs)
    context.leader = successor


@then("the read is answered after the commit, with an index that is not lower")
def read_after_commit(context):
    world = context.world
    # The world checks the index of each answer against what was accepted before.
    run_until(context, lambda: 1 not in world.asked_by_token)
    state = context.leader.node.state
    assert state.commit_index >= state.leading.first_index


def command(index, term):
    return Entry(term=term, index=index, kind=EntryKind.COMMAND, data=b"c")


def member(name, replica):
    return Member(id=name, host="127.0.0.1", port=1, replica=replica)


@given("a follower node with entries 1 to 10, of which 1 to 8 are synced")
def follower_node(context):
    voters = (member("a", 1), member("b", 2), member("c", 3))
    durable = DurableState(
        replica=1,
        hard_state=HardState(term=1),
        snapshot=Snapshot(
            index=0, term=0, membership=Membership(voters=voters), data=b""
        ),
        entries=tuple(command(index, 1) for index in range(1, 9)),
    )
    state = NodeState.from_durable(
        durable, instance="a", config=CONFIG, random=Random(SEED), now=0.0
    )
    context.node = Node(state)
    append = Append(
        term=1,
        source=2,
        destination=1,
        previous_index=8,
        previous_term=1,
        entries=(command(9, 1), command(10, 1)),
        commit_index=4,
    )
    outputs = context.node.receive("b", append, 0.1)
    assert not outputs.messages, "acknowledged before the sync"
    context.old_write = outputs.last_write


@when("a new leader replaces the entries from 6 on")
def entries_replaced(context):
    append = Append(
        term=2,
        source=3,
        destination=1,
        previous_index=5,
        previous_term=1,
        entries=(command(6, 2),),
        commit_index=4,
    )
    outputs = context.node.receive("c", append, 0.2)
    assert not outputs.messages, "acknowledged before the sync"
    context.new_write = outputs.last_write


@then("the node counts {count:d} entries as synced")
def counts_synced(context, count):
    assert context.node.state.synced_index == count


@then("the late sync of the dropped entries changes nothing")
def late_sync(context):
    outputs = context.node.synced(context.old_write, 0.3)
    assert context.node.state.synced_index == 5, context.node.state.synced_index
    assert not outputs.messages, outputs.messages


@then("the node acknowledges the new entry only after its own sync")
def acknowledged(context):
    outputs = context.node.synced(context.new_write, 0.4)
    assert context.node.state.synced_index == 6
    answers = [(o.peer, o.message.index) for o in outputs.messages]
    assert answers == [("c", 6)], answers
    assert isinstance(outputs.messages[0].message, AppendAnswer)


@when("the leader node appends its own removal, crashes and starts again")
def removes_itself(context):
    world = context.world
    process = context.leader
    cut_off(context, process)
    world.remove(process.id)
    assert not process.node.state.is_voter
    while process.disk.pending:
        world.perform(
            process,
            process.node.synced(
                process.disk.sync(len(process.disk.pending)), world.now(process)
            ),
        )
    world.crash(process.id)
    world.cut.clear()
    world.messages.clear()
    world.start(process.id)


@when("another of the nodes crashes")
def another_crashes(context):
    # Three of four votes are needed, and one of the three left has the longest log.
    context.world.crash(follower(context).id)


@when('the node "{name}" is added as a fourth voter')
def fourth_voter(context, name):
    world = context.world
    world.add(name)
    state = context.leader.node.state
    replica = world.process_by_id[name].replica
    run_until(context, lambda: state.membership.is_voter(replica))
    run_until(context, lambda: state.membership_index <= state.commit_index)


@then("the nodes elect a leader within {seconds:d} seconds")
def elect_within(context, seconds):
    run_until(context, lambda: bool(context.world.leaders()), seconds)


@when("a follower node is cut off while {count:d} commands are accepted")
def commands_accepted(context, count):
    world = context.world
    context.cut_off = follower(context)
    cut_off(context, context.cut_off)
    until = len(world.history) + count
    while len(world.history) < until:
        world.propose()
        world.run(60)
    world.cut.clear()


@then("it catches up although each part of the snapshot sees a newer one come up")
def catches_up(context):
    world = context.world
    state = context.cut_off.node.state
    behind = state.commit_index

    def received():
        return len(state.incoming.data) if state.incoming is not None else 0

    for _ in range(60):
        before = received()
        run_until(
            context, lambda n=before: received() != n or state.commit_index > behind
        )
        if state.commit_index > behind:
            return
        cut_off(context, context.cut_off)
        newest = context.leader.node.state.snapshot.index
        while context.leader.node.state.snapshot.index == newest:
            world.propose()
            world.run(20)
        world.cut.clear()
    raise AssertionError(world.describe())
