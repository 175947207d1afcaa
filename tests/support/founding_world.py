"""Founders over lossy messages, with crashes between deciding, keeping and answering.

No task, socket or file takes part. A founder that lost its folder comes back with
another folder number and no right to found.
"""

from dataclasses import dataclass, field
from random import Random

from mothshunt.consensus import founding
from mothshunt.consensus.founding import FoundingRecord
from mothshunt.consensus.messages import (
    NO_BALLOT,
    FoundingAccept,
    FoundingPrepare,
)
from mothshunt.consensus.voters import Member
from mothshunt.core.types import InstanceId

LOSS = 0.15
DOUBLING = 0.1
#: Chance that a process ends at each of the two places around a write.
CRASH = 0.01
REORDER_WINDOW = 8


@dataclass
class Founder:
    """One instance: its folder, and the proposal that it is making."""

    id: InstanceId
    replica: int
    record: FoundingRecord | None
    is_up: bool = True
    highest_seen: object = NO_BALLOT
    request: object = None
    granted_by_id: dict = field(default_factory=dict)

    def member(self):
        return Member(id=self.id, host="127.0.0.1", port=1, replica=self.replica)

    def forget(self):
        self.highest_seen = NO_BALLOT
        self.request = None
        self.granted_by_id = {}


class FoundingWorld:
    """Run founders by chance, and check that one membership is chosen at most."""

    def __init__(self, seed, count):
        self.random = Random(seed)
        self.names = tuple(InstanceId(f"seed-{i}") for i in range(count))
        self.replicas = count
        self.founder_by_id = {
            name: Founder(name, number, FoundingRecord(initial=self.names))
            for number, name in enumerate(self.names, start=1)
        }
        self.messages = []
        self.loss, self.doubling, self.crash = LOSS, DOUBLING, CRASH
        self.lost = 0
        #: Memberships that some majority of records held at one ballot.
        self.chosen = set()

    def step(self):
        choice = self.random.random()
        founder = self.random.choice(list(self.founder_by_id.values()))
        if choice < 0.72 and self.messages:
            self._deliver_one()
        elif choice < 0.90:
            self.propose(founder)
        elif choice < 0.96:
            self._crash_or_start(founder)
        elif choice < 0.965:
            self._lose_folder(founder)

    def propose(self, founder):
        if not founder.is_up or founder.record is None:
            return
        ballot = founding.next_ballot(
            founder.id, (founder.record.promised, founder.highest_seen)
        )
        prepare = FoundingPrepare(initial=self.names, ballot=ballot)
        # The own promise is kept first, so no ballot is used twice.
        own = self._keep(founder, prepare)
        if own is not None:
            self._ask(founder, prepare, own)

    def _ask(self, founder, request, own):
        founder.request = request
        founder.granted_by_id = {founder.id: own}
        for name in self.names:
            if name != founder.id:
                self._send(founder.id, name, request)

    def _send(self, source, destination, message):
        if self.random.random() < self.loss:
            return
        self.messages.append((source, destination, message))
        if self.random.random() < self.doubling:
            self.messages.append((source, destination, message))

    def _deliver_one(self):
        position = self.random.randrange(min(len(self.messages), REORDER_WINDOW))
        source, destination, message = self.messages.pop(position)
        founder = self.founder_by_id[destination]
        if not founder.is_up:
            return
        if isinstance(message, FoundingPrepare | FoundingAccept):
            self._answer(founder, source, message)
        else:
            self._take(founder, *message)

    def _answer(self, founder, source, request):
        answer = self._keep(founder, request)
        if answer is not None:
            self._send(founder.id, source, (request, answer))

    def _keep(self, founder, request):
        """Decide on a step; return the answer unless the process ends before it."""
        founder.highest_seen = max(founder.highest_seen, request.ballot)
        record, answer = founding.answer(founder.record, founder.member(), request)
        # The process may end before the record is kept, or before it has answered.
        fate = self.random.random()
        if fate < self.crash:
            self._crash(founder)
            return None
        founder.record = record
        self._note_chosen()
        if fate < 2 * self.crash:
            self._crash(founder)
            return None
        return answer

    def _take(self, founder, request, answer):
        founder.highest_seen = max(founder.highest_seen, answer.promised)
        if request != founder.request or not answer.is_granted:
            return
        founder.granted_by_id[answer.sender.id] = answer
        granted = list(founder.granted_by_id.values())
        if not founding.is_majority(len(granted), self.names):
            return
        if isinstance(request, FoundingPrepare):
            membership = founding.choose(granted)
            accept = FoundingAccept(
                initial=self.names, ballot=request.ballot, membership=membership
            )
            own = self._keep(founder, accept)
            if own is not None and own.is_granted:
                self._ask(founder, accept, own)
        else:
            self.chosen.add(request.membership)
            self._check()

    def _note_chosen(self):
        by_ballot = {}
        for founder in self.founder_by_id.values():
            record = founder.record
            if record is not None and record.membership is not None:
                held = by_ballot.setdefault((record.accepted, record.membership), 0)
                by_ballot[record.accepted, record.membership] = held + 1
        for (_, membership), count in by_ballot.items():
            if founding.is_majority(count, self.names):
                self.chosen.add(membership)
        self._check()

    def _check(self):
        assert len(self.chosen) <= 1, f"two founding memberships: {self.chosen}"

    def _crash(self, founder):
        founder.is_up = False
        founder.forget()

    def _crash_or_start(self, founder):
        if founder.is_up:
            self._crash(founder)
        else:
            founder.is_up = True

    def _lose_folder(self, founder):
        """Lose a folder for good; more than a minority may go."""
        self._crash(founder)
        self.replicas += 1
        self.lost += 1
        founder.replica = self.replicas
        founder.record = None

    def heal(self):
        """Start all, end all faults, and let them propose in turn until one is done."""
        self.loss = self.doubling = self.crash = 0.0
        for founder in self.founder_by_id.values():
            founder.is_up = True
        able = [f for f in self.founder_by_id.values() if f.record is not None]
        if not founding.is_majority(len(able), self.names):
            return False
        for founder in able * 3:
            self.messages.clear()
            self.propose(founder)
            for _ in range(200):
                if self.messages:
                    self._deliver_one()
            if self.chosen:
                return True
        raise AssertionError("a majority can found, and founds nothing")
