"""State machine of holders and leaders, with lost messages and restarts."""

from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from mothshunt.configuration.model import Configuration
from mothshunt.core.types import Incarnation, InstanceId, RegionId, Term
from mothshunt.limits.const import CANCELLATION_TIME_S
from mothshunt.limits.grantor import LeaseGrantor
from mothshunt.limits.holder import LeaseHolder
from mothshunt.limits.messages import Grant, Renewal
from mothshunt.limits.model import Permit
from mothshunt.limits.shares import limit_by_key, region_key, static_share
from tests.support.limits_world import configuration, entry_record

LIMIT = 40
TIMEOUT_S = 4.0
REGION = RegionId("north")
KEY = region_key("sleman", REGION)
HOLDERS = 4
INDEX = st.integers(0, HOLDERS - 1)
DEMAND = st.sampled_from([0, 1, 5, 40])
WHICH = st.integers(0, 3)
#: Number of terms by which a leader is behind the newest one.
LEADER = st.sampled_from([0, 0, 1])


@dataclass
class RunningRequest:
    """Request that runs at a target."""

    holder: int
    ends_at: float


@dataclass
class ReceivedRenewal:
    """Renewal that a leader received, and whether a majority confirmed the leader."""

    renewal: Renewal
    leader: int
    is_confirmed: bool


@dataclass
class EntryProcess:
    """Process of one entry instance."""

    holder: LeaseHolder
    permits: list[Permit] = field(default_factory=list)


class LimitsMachine(RuleBasedStateMachine):
    """Holders and leaders; the limit is checked after every step."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0 - CANCELLATION_TIME_S
        self.configuration: Configuration = configuration(
            LIMIT, TIMEOUT_S, [entry_record(f"n{i}", "north", i) for i in range(4)]
        )
        self.processes = [self._process(i, 1) for i in range(HOLDERS)]
        self.now = 1000.0
        self.running: list[RunningRequest] = []
        self.cancelled: list[RunningRequest] = []
        self.renewals: list[Renewal] = []
        self.received: list[ReceivedRenewal] = []
        self.grants: list[tuple[int, Incarnation, Grant]] = []
        self.grantors = [LeaseGrantor(Term(1), self.now)]
        self.grantors[0].configure(self.configuration)

    def _process(self, index: int, incarnation: int) -> EntryProcess:
        name = InstanceId(f"n{index}")
        earliest_start = self.now + CANCELLATION_TIME_S
        holder = LeaseHolder(name, Incarnation(incarnation), REGION, earliest_start)
        record = self.configuration.instance_by_id[name]
        holder.configure(
            self.configuration.revision,
            {
                key: static_share(key, limit, record)
                for key, limit in limit_by_key(self.configuration).items()
            },
        )
        return EntryProcess(holder)

    @rule(seconds=st.sampled_from([0.1, 1.0, 2.0, 4.0, 10.0]))
    def pass_time(self, seconds):
        self.now += seconds
        self.running = [item for item in self.running if item.ends_at > self.now]
        self.cancelled = [item for item in self.cancelled if item.ends_at > self.now]

    @rule(index=INDEX, count=DEMAND)
    def start_requests(self, index, count):
        process = self.processes[index]
        for _ in range(count):
            limit_set = process.holder.limit_set((KEY,))
            if process.holder.check_capacity(limit_set, idempotent=False, now=self.now):
                return
            process.permits.append(process.holder.acquire(limit_set, self.now))
            self.running.append(RunningRequest(index, self.now + TIMEOUT_S))

    @rule(index=INDEX, count=DEMAND)
    def finish_requests(self, index, count):
        process = self.processes[index]
        for _ in range(min(count, len(process.permits))):
            process.holder.release(process.permits.pop(0), self.now)
            own = next((r for r in self.running if r.holder == index), None)
            if own is not None:
                self.running.remove(own)

    def _send(self, index: int, demand: int) -> Renewal | None:
        """Start requests at a holder and return its next renewal."""
        self.start_requests(index, demand)
        holder = self.processes[index].holder
        if self.now < holder.earliest_start:
            return None
        return holder.prepare_renewal(self.now)

    def _grant(self, received: ReceivedRenewal) -> None:
        """Answer a renewal, unless no majority confirmed the leader."""
        if not received.is_confirmed:
            return
        result = self.grantors[received.leader].grant(received.renewal, self.now)
        if result.is_ok():
            index = int(received.renewal.holder[1:])
            self.grants.append((index, received.renewal.incarnation, result.ok))

    def _receive(self, renewal: Renewal, leader: int) -> ReceivedRenewal:
        newest = len(self.grantors) - 1
        leader = max(0, newest - leader)
        return ReceivedRenewal(renewal, leader, is_confirmed=leader == newest)

    def _accept(self, item: tuple[int, Incarnation, Grant]) -> None:
        index, incarnation, grant = item
        holder = self.processes[index].holder
        # The stream of a previous process is closed, so its grants are lost.
        if holder.incarnation == incarnation:
            holder.accept(grant, self.now)

    @rule(index=INDEX, demand=DEMAND)
    def send_renewal(self, index, demand):
        renewal = self._send(index, demand)
        if renewal is not None:
            self.renewals.append(renewal)

    @precondition(lambda self: self.renewals)
    @rule(which=WHICH, leader=LEADER)
    def receive_renewal(self, which, leader):
        renewal = self.renewals.pop(which % len(self.renewals))
        self.received.append(self._receive(renewal, leader))

    @precondition(lambda self: self.received)
    @rule(which=WHICH)
    def grant(self, which):
        self._grant(self.received.pop(which % len(self.received)))

    @precondition(lambda self: self.grants)
    @rule(which=WHICH)
    def receive_grant(self, which):
        self._accept(self.grants.pop(which % len(self.grants)))

    @rule(index=INDEX, demand=DEMAND, leader=LEADER)
    def renew_with_late_answer(self, index, demand, leader):
        renewal = self._send(index, demand)
        if renewal is not None:
            self._grant(self._receive(renewal, leader))

    @rule(index=INDEX, demand=DEMAND, leader=LEADER)
    def renew(self, index, demand, leader):
        before = len(self.grants)
        self.renew_with_late_answer(index, demand, leader)
        for item in self.grants[before:]:
            self._accept(item)
        del self.grants[before:]
        self.start_requests(index, demand)

    @rule(quiet=st.integers(-1, HOLDERS - 1), demand=DEMAND)
    def renew_all_but(self, quiet, demand):
        for index in range(HOLDERS):
            if index != quiet:
                self.renew(index, demand, 0)

    @rule()
    def lose_messages(self):
        self.renewals.clear()
        self.grants.clear()

    @rule()
    def change_leader(self):
        grantor = LeaseGrantor(Term(self.grantors[-1].term + 1), self.now)
        grantor.configure(self.configuration)
        self.grantors.append(grantor)

    @rule(index=INDEX)
    def restart_holder(self, index):
        own = [item for item in self.running if item.holder == index]
        self.running = [item for item in self.running if item.holder != index]
        # The kernel closes the connections of a process that dies.
        cancelled_at = self.now + CANCELLATION_TIME_S
        for item in own:
            item.ends_at = min(item.ends_at, cancelled_at)
        self.cancelled += own
        incarnation = self.processes[index].holder.incarnation + 1
        self.processes[index] = self._process(index, incarnation)

    @invariant()
    def sums_are_right(self):
        """Compare the running totals of the newest leader with recomputed ones."""
        records = self.grantors[-1]._records
        totals = records.totals(KEY)
        outstanding = [r.outstanding_by_key.get(KEY, 0) for r in records._all_records()]
        assert totals.outstanding == sum(outstanding), (totals, outstanding)
        assert totals.excess_static >= 0, totals
        active = [
            r
            for r in records._all_records()
            if r.has_demand and KEY in r.outstanding_by_key
        ]
        assert totals.home_holders == len(active), (totals, active)
        needed = sum(r.holding_by_key[KEY].needed for r in active)
        assert totals.home_needed == needed, (totals, needed)

    @invariant()
    def limit_is_kept(self):
        usable = 0
        for index, process in enumerate(self.processes):
            running = sum(1 for item in self.running if item.holder == index)
            usable += max(process.holder.capacity(KEY, self.now), running)
        assert usable + len(self.cancelled) <= LIMIT, (usable, len(self.cancelled))
