"""Faults drawn by hypothesis for the pure nodes of the replicated log."""

from dataclasses import dataclass

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from tests.support.consensus_process import INITIAL, SPARE
from tests.support.consensus_world import World

NAMES = (*INITIAL, *SPARE)
names = st.sampled_from(NAMES)
chances = st.sampled_from((0.0, 0.1, 0.3))


@dataclass
class Totals:
    """What all examples of one run did."""

    examples: int = 0
    steps: int = 0
    accepted: int = 0
    terms: int = 0
    disks_lost: int = 0


class FaultMachine(RuleBasedStateMachine):
    """Let faults happen between stretches of random messages, syncs and time."""

    totals = Totals()

    def __init__(self):
        super().__init__()
        self.world = None

    @initialize(seed=st.integers(min_value=0, max_value=2**32))
    def begin(self, seed):
        self.world = World(seed)
        self.world.run(300)

    @rule(steps=st.integers(min_value=20, max_value=600), commands=st.integers(0, 3))
    def go_on(self, steps, commands):
        for _ in range(commands):
            self.world.propose()
        self.world.read()
        self.world.run(steps)

    @rule(pace_s=st.sampled_from((0.005, 0.02, 0.06)))
    def change_pace(self, pace_s):
        self.world.pace_s = pace_s

    @rule(loss=chances, doubling=chances)
    def disturb(self, loss, doubling):
        self.world.loss = loss
        self.world.doubling = doubling

    @rule(name=names)
    def crash(self, name):
        self.world.crash(name)

    @rule(name=names)
    def start(self, name):
        self.world.start(name)

    @rule(name=names, delay=st.integers(0, 300))
    def lose_disk(self, name, delay):
        self.world.lose_disk(name)
        self.world.run(delay)
        self.world.start(name)

    @rule(pair=st.lists(names, min_size=2, max_size=2, unique=True))
    def cut_or_mend(self, pair):
        self.world.cut ^= {frozenset(pair)}

    @rule(commands=st.integers(0, 8), steps=st.integers(0, 900))
    def isolate_leader(self, commands, steps):
        for leader in self.world.leaders()[:1]:
            others = [name for name in NAMES if name != leader.id]
            self.world.cut |= {frozenset((leader.id, other)) for other in others}
        for _ in range(commands):
            self.world.propose()
        self.world.run(steps)

    @rule(steps=st.integers(0, 300))
    def crash_leader(self, steps):
        leaders = self.world.leaders()[:1]
        for leader in leaders:
            self.world.crash(leader.id)
        self.world.run(steps)
        for leader in leaders:
            self.world.start(leader.id)

    @rule(name=names)
    def lose_stream(self, name):
        self.world.lose_stream(name)

    @rule()
    def mend_cuts(self):
        self.world.cut.clear()

    @rule()
    def transfer(self):
        self.world.transfer()

    @rule(name=names)
    def add(self, name):
        self.world.add(name)

    @rule(name=names)
    def remove(self, name):
        self.world.remove(name)

    def teardown(self):
        if self.world is None:
            return
        self.world.heal()
        self.totals.examples += 1
        self.totals.steps += self.world.steps
        self.totals.accepted += len(self.world.history)
        self.totals.terms += max(self.world.leader_by_term)
        self.totals.disks_lost += len(self.world.lost_replicas)


def run_examples(count, rules):
    """Run the machine with the same examples every time.

    :param count: Number of examples.
    :param rules: Most faults in each.
    """
    FaultMachine.totals = Totals()
    run_state_machine_as_test(
        FaultMachine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=count,
            stateful_step_count=rules,
            suppress_health_check=list(HealthCheck),
        ),
    )
    return FaultMachine.totals
