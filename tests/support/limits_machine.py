"""Random walks over holders, leaders, lost messages, freezes and restarts."""

from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from mothshunt.configuration.model import Configuration
from mothshunt.core.types import Incarnation, InstanceId, RegionId, Term
from mothshunt.limits.grantor import Grantor
from mothshunt.limits.holder import Holder
from mothshunt.limits.messages import Grant, Renewal
from mothshunt.limits.model import Permit
from mothshunt.limits.shares import limit_by_key, region_key, static_share
from tests.support.limits_world import configuration, entry_record

LIMIT = 40
TIMEOUT_S = 2.0
REGION = RegionId("north")
KEY = region_key("sleman", REGION)
HOLDERS = 4


@dataclass
class Running:
    """A request as the targets see it."""

    holder: int
    ends_at: float


@dataclass
class Asked:
    """A renewal that a leader received; the leadership may be confirmed later."""

    renewal: Renewal
    leader: int
    confirmed: bool = False


@dataclass
class Process:
    """One entry process."""

    holder: Holder
    permits: list[Permit] = field(default_factory=list)


class LimitsMachine(RuleBasedStateMachine):
    """Check after every step that the limit is kept."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.configuration: Configuration = configuration(
            LIMIT, TIMEOUT_S, [entry_record(f"n{i}", "north", i) for i in range(4)]
        )
        self.processes = [self._process(i, 1) for i in range(HOLDERS)]
        self.running: list[Running] = []
        self.former: list[Running] = []
        self.renewals: list[Renewal] = []
        self.asked: list[Asked] = []
        self.grants: list[tuple[int, Incarnation, Grant]] = []
        self.grantors = [Grantor(Term(1), self.now)]
        self.grantors[0].configure(self.configuration)

    def _process(self, index: int, incarnation: int) -> Process:
        name = InstanceId(f"n{index}")
        holder = Holder(name, Incarnation(incarnation))
        record = self.configuration.instance_by_id[name]
        holder.configure(
            self.configuration.revision,
            {
                key: static_share(key, limit, record)
                for key, limit in limit_by_key(self.configuration).items()
            },
        )
        return Process(holder)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 4.0, 6.0, 9.0]))
    def pass_time(self, seconds):
        self.now += seconds
        self.running = [item for item in self.running if item.ends_at > self.now]
        self.former = [item for item in self.former if item.ends_at > self.now]

    @rule(index=st.integers(0, HOLDERS - 1), count=st.integers(1, 30))
    def start_requests(self, index, count):
        process = self.processes[index]
        for _ in range(count):
            result = process.holder.try_acquire((KEY,), idempotent=False, now=self.now)
            if result.is_error():
                return
            process.permits.append(result.ok)
            self.running.append(Running(index, self.now + TIMEOUT_S))

    @rule(index=st.integers(0, HOLDERS - 1), count=st.integers(1, 30))
    def finish_requests(self, index, count):
        process = self.processes[index]
        for _ in range(min(count, len(process.permits))):
            process.holder.release(process.permits.pop(0))
            mine = next((r for r in self.running if r.holder == index), None)
            if mine is not None:
                self.running.remove(mine)

    @rule(index=st.integers(0, HOLDERS - 1))
    def send_renewal(self, index):
        holder = self.processes[index].holder
        self.renewals.append(holder.prepare_renewal(self.now))

    @precondition(lambda self: self.renewals)
    @rule(data=st.data())
    def receive_renewal(self, data):
        renewal = self.renewals.pop(
            data.draw(st.integers(0, len(self.renewals) - 1), "renewal")
        )
        leader = data.draw(st.integers(0, len(self.grantors) - 1), "leader")
        self.asked.append(Asked(renewal, leader))

    @precondition(lambda self: self.asked)
    @rule(data=st.data())
    def confirm_leader(self, data):
        asked = self.asked[data.draw(st.integers(0, len(self.asked) - 1), "asked")]
        # Only the newest leader finds a majority.
        if asked.leader == len(self.grantors) - 1:
            asked.confirmed = True

    @precondition(lambda self: any(item.confirmed for item in self.asked))
    @rule(data=st.data())
    def grant(self, data):
        ready = [item for item in self.asked if item.confirmed]
        asked = ready[data.draw(st.integers(0, len(ready) - 1), "asked")]
        self.asked.remove(asked)
        result = self.grantors[asked.leader].grant(asked.renewal, self.now)
        if result.is_ok():
            index = int(asked.renewal.holder[1:])
            self.grants.append((index, asked.renewal.incarnation, result.ok))

    @precondition(lambda self: self.grants)
    @rule(data=st.data())
    def receive_grant(self, data):
        index, incarnation, grant = self.grants.pop(
            data.draw(st.integers(0, len(self.grants) - 1), "grant")
        )
        holder = self.processes[index].holder
        # A grant for a former process finds its stream closed.
        if holder.incarnation == incarnation:
            holder.accept(grant, self.now)

    @rule()
    def lose_messages(self):
        self.renewals.clear()
        self.grants.clear()

    @rule()
    def change_leader(self):
        grantor = Grantor(Term(self.grantors[-1].term + 1), self.now)
        grantor.configure(self.configuration)
        self.grantors.append(grantor)

    @rule(index=st.integers(0, HOLDERS - 1))
    def restart_holder(self, index):
        mine = [item for item in self.running if item.holder == index]
        self.running = [item for item in self.running if item.holder != index]
        # The former process may have used its static share; the rest was leased.
        static = self._static(index)
        self.former += sorted(mine, key=lambda item: item.ends_at)[static:]
        incarnation = self.processes[index].holder.incarnation + 1
        self.processes[index] = self._process(index, incarnation)

    def _static(self, index: int) -> int:
        record = self.configuration.instance_by_id[InstanceId(f"n{index}")]
        return static_share(KEY, LIMIT, record)

    @invariant()
    def limit_is_kept(self):
        usable = 0
        for index, process in enumerate(self.processes):
            running = sum(1 for item in self.running if item.holder == index)
            usable += max(process.holder.capacity(KEY, self.now), running)
        assert usable + len(self.former) <= LIMIT, (usable, len(self.former))
