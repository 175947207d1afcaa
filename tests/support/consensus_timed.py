"""Pure nodes that start together, with a way and a disk that take their time."""

import heapq
import math
from itertools import count
from random import Random

from mothshunt.consensus.config import ConsensusConfig
from mothshunt.consensus.node import Node
from mothshunt.consensus.state import NodeState
from mothshunt.consensus.types import DurableState, HardState, Snapshot
from mothshunt.consensus.voters import Member, Membership

CONFIG = ConsensusConfig(is_self_managed=True, is_founded_by_majority=True)
#: Times between the starts of the first and the last instance, in seconds.
START_SPREAD_S = 0.05
#: Time after which a condition is given up, in seconds.
LIMIT_S = 30.0


class TimedNodes:
    """Voters of one log, started within a short time of each other.

    :param seed: Source of all chance.
    :param names: Names of the voters.
    :param way_s: Time that a message takes, in seconds.
    :param sync_s: Time that a sync takes, in seconds.
    :param down: Voters that don't start.
    """

    def __init__(self, seed, names, way_s, sync_s, down=()):
        self.random = Random(seed)
        self.way_s = way_s
        self.sync_s = sync_s
        self.now = 0.0
        self.cut = set()
        self._events = []
        self._numbers = count()
        self.node_by_id = {}
        voters = tuple(
            Member(id=name, host="127.0.0.1", port=1, replica=number)
            for number, name in enumerate(names, 1)
        )
        self._membership = Membership(voters=voters)
        for voter in voters:
            if voter.id in down:
                continue
            self._at(
                self.random.uniform(0.0, START_SPREAD_S),
                self._start,
                (voter, self._membership),
            )

    def _at(self, when, action, arguments):
        heapq.heappush(self._events, (when, next(self._numbers), action, arguments))

    def _start(self, voter, membership):
        durable = DurableState(
            replica=voter.replica,
            hard_state=HardState(term=1),
            snapshot=Snapshot(index=0, term=0, membership=membership, data=b""),
        )
        state = NodeState.from_durable(
            durable,
            instance=voter.id,
            config=CONFIG,
            random=Random(self.random.random()),
            now=self.now,
        )
        self.node_by_id[voter.id] = Node(state)
        self._arm(voter.id)

    def _arm(self, name):
        due = max(self.node_by_id[name].due_at(), self.now)
        self._at(due, self._tick, (name,))

    def _tick(self, name):
        node = self.node_by_id[name]
        if self.now < node.due_at():
            self._arm(name)
            return
        self._perform(name, node.tick(self.now))
        self._arm(name)

    def _perform(self, name, outputs):
        if outputs.writes:
            self._at(self.now + self.sync_s, self._synced, (name, outputs.last_write))
        for outgoing in outputs.messages:
            if (name, outgoing.peer) in self.cut:
                continue
            when = self.now + self.way_s
            self._at(when, self._deliver, (name, outgoing.peer, outgoing.message))

    def _synced(self, name, number):
        self._perform(name, self.node_by_id[name].synced(number, self.now))

    def _deliver(self, source, destination, message):
        node = self.node_by_id.get(destination)
        if node is not None:
            self._perform(destination, node.receive(source, message, self.now))

    def leader(self):
        """Return the name of a leader; None where there is none."""
        for name, node in self.node_by_id.items():
            if node.state.leading is not None:
                return name
        return None

    def run_until(self, condition, until=math.inf):
        """Run until a condition holds, or some time; at most half a minute more."""
        limit = self.now + LIMIT_S
        while not condition() and self._events and self._events[0][0] < until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            if self.now > limit:
                return
            action(*arguments)

    def start(self, name):
        """Start a voter that was down."""
        self._start(self._membership.find(name), self._membership)

    def perform(self, name, outputs):
        """Do what a node decided, and have it woken in time."""
        self._perform(name, outputs)
        self._arm(name)

    def propose(self, name, command):
        """Propose a command at a leader; return whether it takes it."""
        outputs = self.node_by_id[name].propose([command], self.now)
        if outputs is not None:
            self.perform(name, outputs)
        return outputs is not None

    def read_each(self, name, interval_s):
        """Read at a node from now on, at an interval."""
        token = next(self._numbers)
        self.perform(name, self.node_by_id[name].read([token], self.now))
        self._at(self.now + interval_s, self.read_each, (name, interval_s))

    def lose_messages_on_their_way(self):
        """Lose all messages that are on their way."""
        self._events = [e for e in self._events if e[2] != self._deliver]
        heapq.heapify(self._events)

    def run_until_led(self, most_s):
        """Run until there is a leader, and return the time."""
        while self.leader() is None:
            self.now, _, action, arguments = heapq.heappop(self._events)
            assert self.now < most_s, f"no leader after {most_s} s"
            action(*arguments)
        return self.now
