"""Pure nodes over lossy messages and disks that forget what was not synced.

No task, socket or file takes part: the nodes are called directly, and every promise
of the replicated log is checked after each call.
"""

from random import Random

from mothshunt.consensus import bootstrap, changes
from mothshunt.consensus.bootstrap import Step
from mothshunt.consensus.messages import HelloAnswer
from mothshunt.consensus.node import Node
from mothshunt.consensus.state import NodeState
from mothshunt.consensus.types import EntryKind
from mothshunt.consensus.waiting import ProposalWaiters
from tests.support.consensus_checks import CheckedNodes
from tests.support.consensus_disk import Disk
from tests.support.consensus_process import CONFIG, INITIAL, SPARE, Outcome, Process

REORDER_WINDOW = 6


class World(CheckedNodes):
    """Run the processes and check what must hold."""

    def __init__(self, seed):
        super().__init__()
        self.random = Random(seed)
        self.cut = set()
        self.pace_s = 0.02
        self.loss = 0.0
        self.doubling = 0.0
        self.steps = 0
        self.commands = 0
        self.tokens = 0
        self.lost_replicas = set()
        self.process_by_id = {}
        for name in (*INITIAL, *SPARE):
            disk = self._new_disk()
            offset = self.random.uniform(-1000.0, 1000.0)
            rate = self.random.uniform(0.97, 1.03)
            self.process_by_id[name] = Process(name, disk, offset, rate)
            self.start(name)

    def _new_disk(self):
        replica = len(self.disk_by_replica) + 1
        self.disk_by_replica[replica] = Disk(replica)
        return self.disk_by_replica[replica]

    def running(self):
        return [p for p in self.process_by_id.values() if p.node is not None]

    def leaders(self):
        return [p for p in self.running() if p.node.state.leading is not None]

    # What may happen

    def start(self, name):
        process = self.process_by_id[name]
        if process.node is not None:
            return
        state = NodeState.from_durable(
            process.disk.durable,
            instance=name,
            config=CONFIG,
            random=Random(self.random.random()),
            now=self.now(process),
        )
        process.node = Node(state)
        snapshot = state.snapshot
        process.applied = self._restored(snapshot) if snapshot else []
        process.commit_index = state.commit_index
        process.answer_by_instance = {}
        process.waiters = ProposalWaiters()

    def crash(self, name):
        process = self.process_by_id[name]
        process.node = None
        process.disk.crash(self.random)

    def lose_disk(self, name):
        """Lose a disk, unless a majority of some membership would be lost by it."""
        process = self.process_by_id[name]
        lost = self.lost_replicas | {process.replica}
        for membership in self._memberships_in_force():
            if not membership.is_quorum(lambda replica: replica not in lost):
                return False
        self.crash(name)
        self.lost_replicas = lost
        process.disk = self._new_disk()
        return True

    def _memberships_in_force(self):
        states = [p.node.state for p in self.running()]
        durable = [self._state_on_disk(p) for p in self.process_by_id.values()]
        found = [at for s in (*states, *durable) for at in s.memberships]
        committed = [at.index for at in found if at.index <= len(self.history)]
        newest = max(committed, default=0)
        return [at.membership for at in found if at.index >= newest]

    def _state_on_disk(self, process):
        return NodeState.from_durable(
            process.disk.durable,
            instance=process.id,
            config=CONFIG,
            random=Random(0),
            now=0.0,
        )

    def propose(self):
        for process in self.leaders():
            count = self.random.randint(1, 3)
            commands = [f"{self.commands + i}".encode() for i in range(count)]
            self.commands += count
            first = process.node.state.log.last_index + 1
            outputs = process.node.propose(commands, self.now(process))
            if outputs is None:
                continue
            for offset, command in enumerate(commands):
                outcome = Outcome(self, command)
                process.waiters.add(first + offset, process.node.state.term, outcome)
            self.perform(process, outputs)

    def read(self):
        for process in self.leaders():
            self.tokens += 1
            self.asked_by_token[self.tokens] = len(self.history)
            outputs = process.node.read([self.tokens], self.now(process))
            self.perform(process, outputs)

    def transfer(self):
        for process in self.leaders():
            self.perform(process, process.node.transfer(self.now(process)))

    def lose_stream(self, name):
        process = self.process_by_id[name]
        if process.node is not None:
            self.perform(process, process.node.leader_lost(self.now(process)))

    def add(self, name):
        member = self.process_by_id[name].member()
        for process in self.leaders():
            if process.node.state.membership.find(name) is None:
                self._change(process, "add_learner", member)

    def remove(self, name):
        lost = self.lost_replicas
        for process in self.leaders():
            membership = process.node.state.membership.without(name)
            survives = membership.is_quorum(lambda replica: replica not in lost)
            if len(membership.voters) >= 2 and survives:
                self._change(process, "remove", name)

    def _change(self, process, method, argument):
        change = getattr(process.node, method)
        _, outputs = change(argument, self.now(process))
        self.perform(process, outputs)

    # Chance

    def run(self, steps):
        for _ in range(steps):
            self.step()

    def step(self):
        self.steps += 1
        choice = self.random.random()
        if choice < 0.45 and self.messages:
            self._deliver_one()
        elif choice < 0.70:
            self._sync_one()
        elif choice < 0.97:
            self.advance(self.random.uniform(0.0, self.pace_s))
        else:
            self._introduce_one()

    def _deliver_one(self):
        position = self.random.randrange(min(len(self.messages), REORDER_WINDOW))
        source, destination, message = self.messages.pop(position)
        if self.random.random() < self.loss:
            return
        if self.random.random() < self.doubling:
            self.messages.append((source, destination, message))
        if frozenset((source, destination)) in self.cut:
            return
        process = self.process_by_id[destination]
        if process.node is not None:
            outputs = process.node.receive(source, message, self.now(process))
            self.perform(process, outputs)

    def _sync_one(self):
        waiting = [p for p in self.running() if p.disk.pending]
        if not waiting:
            return
        process = self.random.choice(waiting)
        number = process.disk.sync(self.random.randint(1, len(process.disk.pending)))
        outputs = process.node.synced(number, self.now(process))
        self.perform(process, outputs)

    def advance(self, seconds):
        self.time += seconds
        for process in self.running():
            now = self.now(process)
            if now >= process.node.due_at():
                self.perform(process, process.node.tick(now))

    def _introduce_one(self):
        """Let one process collect an answer, and now and then act on all it has."""
        process = self.random.choice(self.running() or [None])
        if process is None or process.node.state.leading is not None:
            return
        state = process.node.state
        if state.membership.has(process.replica) and state.leader is not None:
            process.answer_by_instance = {}
            return
        for peer in self.running():
            is_cut = frozenset((process.id, peer.id)) in self.cut
            if peer is not process and not is_cut and self.random.random() < 0.7:
                process.answer_by_instance[peer.id] = self._hello(peer)
        if self.random.random() < 0.5:
            self._follow(process)
            process.answer_by_instance = {}

    def _hello(self, peer):
        state = peer.node.state
        membership = state.membership if state.memberships else None
        return HelloAnswer(
            sender=peer.member(), membership=membership, leader=state.leader
        )

    def _follow(self, process):
        state = process.node.state
        decision = bootstrap.decide(
            own=process.member(),
            known=state.membership if state.memberships else None,
            initial=INITIAL,
            answer_by_instance=process.answer_by_instance,
        )
        if decision.step is Step.FOUND:
            outputs = process.node.found(decision.membership, self.now(process))
            self.perform(process, outputs)
        elif decision.step is Step.REJOIN:
            for name in decision.leaders:
                self._rejoin(self.process_by_id[name], process.member())

    def _rejoin(self, leader, member):
        leading = leader.node.state.leading if leader.node is not None else None
        if leading is None:
            return
        state = leader.node.state
        present = state.membership.find(member.id)
        if present is None or present.replica == member.replica:
            return
        oldest = self.now(leader) - CONFIG.election_min_s
        if not changes.is_alive(leading, present.replica, oldest):
            self._change(leader, "add_learner", member)

    # Recovery

    def heal(self):
        """End all faults and see that all members come to the same state."""
        self.cut.clear()
        self.loss = self.doubling = 0.0
        self.pace_s = 0.02
        for name in self.process_by_id:
            self.start(name)
        before = self.commands
        for _ in range(80):
            self.run(500)
            self.propose()
            self.run(300)
            if self._is_whole(before):
                self._check_outcomes()
                return
        raise AssertionError(f"no recovery: {self.describe()}")

    def _check_outcomes(self):
        run = {data for _, kind, data in self.history if kind is EntryKind.COMMAND}
        assert self.answered <= run, "accepted for its caller, and lost"
        assert not self.refused & run, "ran although it was refused"

    def _is_whole(self, before):
        leaders = self.leaders()
        if len(leaders) != 1 or self.commands == before:
            return False
        state = leaders[0].node.state
        replicas = {p.replica for p in self.running()}
        has_all = all(m.replica in replicas for m in state.membership.members())
        members = [p for p in self.running() if state.membership.has(p.replica)]
        is_level = all(len(p.applied) == len(self.history) for p in members)
        new = any(
            k is EntryKind.COMMAND and int(d) >= before for _, k, d in self.history
        )
        return has_all and is_level and new and not state.membership.learners

    def describe(self):
        return {
            p.id: p.node
            and (
                p.replica,
                p.node.state.role.value,
                p.node.state.term,
                p.node.state.commit_index,
                p.node.state.log.last_index,
                p.node.state.leader,
                p.node.state.membership,
            )
            for p in self.process_by_id.values()
        }
