"""State of one node of the replicated log, and what its decisions give out."""

from collections import deque
from dataclasses import dataclass, field
from random import Random

from mothshunt.consensus import const, voters
from mothshunt.consensus.config import ConsensusConfig
from mothshunt.consensus.log import Log
from mothshunt.consensus.messages import NodeMessage
from mothshunt.consensus.types import (
    NO_INDEX,
    NO_TERM,
    NO_WRITE,
    DurableState,
    Entry,
    EntryKind,
    HardState,
    NodeRole,
    Snapshot,
    Write,
    WriteNumber,
)
from mothshunt.consensus.voters import NO_REPLICA, Member, Membership, ReplicaId
from mothshunt.core.types import InstanceId, LogIndex, Term


@dataclass(frozen=True, kw_only=True, slots=True)
class Outgoing:
    """Hold a message for a peer.

    :param peer: Receiver.
    :param message: The message.
    """

    peer: InstanceId
    message: NodeMessage


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadAnswer:
    """Answer a read.

    :param token: Number that the read was asked with.
    :param index: Confirmed commit index; ``None`` when leadership was lost.
    """

    token: int
    index: LogIndex | None


@dataclass(kw_only=True, slots=True)
class Outputs:
    """Collect what is to be done after a step, in this order.

    :param writes: To be written and synced, in order.
    :param last_write: Number of the last write asked for so far.
    :param messages: To be sent; none depends on a write that is not synced.
    :param applies: Committed entries to apply, and snapshots to restore, in order.
    :param reads: Answers to reads.
    """

    writes: list[Write] = field(default_factory=list)
    last_write: WriteNumber = NO_WRITE
    messages: list[Outgoing] = field(default_factory=list)
    applies: list[Entry | Snapshot] = field(default_factory=list)
    reads: list[ReadAnswer] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldMessage:
    """Hold a message until a write is synced.

    :param after: The write.
    :param outgoing: The message.
    """

    after: WriteNumber
    outgoing: Outgoing


@dataclass(kw_only=True, slots=True)
class LogMark:
    """Remember how far the log reaches on disk once a write is synced."""

    number: WriteNumber
    last_index: LogIndex


@dataclass(kw_only=True, slots=True)
class Progress:
    """Hold what the leader knows of another member.

    :param member: The member.
    :param match: Last index that it has acknowledged as synced.
    :param next: Next index to send.
    :param probing: Whether the leader is still finding where the logs match.
    :param in_flight: Appends without an answer.
    :param sent_at: Monotonic time of the oldest step that waits for an answer.
    :param heard_at: Monotonic time of its last answer.
    :param round: Last round that it has answered.
    :param sending: Snapshot being sent; one begun is sent to its end, as a newer
        one could come up before each end.
    :param snapshot_offset: Bytes of it that have arrived.
    :param catch_up_target: Index that a learner has to reach in time.
    :param catch_up_since: Monotonic time at which the target was set.
    """

    member: Member
    next: LogIndex
    match: LogIndex = NO_INDEX
    probing: bool = True
    in_flight: int = 0
    sent_at: float = 0.0
    heard_at: float = 0.0
    round: int = 0
    sending: Snapshot | None = None
    snapshot_offset: int = 0
    catch_up_target: LogIndex = NO_INDEX
    catch_up_since: float = 0.0


@dataclass(kw_only=True, slots=True)
class PendingRead:
    """Hold a read that waits for a round of heartbeats.

    :param token: Number of the read.
    :param index: Commit index when it was asked.
    :param round: Round that confirms it.
    """

    token: int
    index: LogIndex
    round: int


@dataclass(kw_only=True, slots=True)
class LeaderState:
    """Hold what only a leader needs.

    :param progress_by_replica: The other members.
    :param first_index: Index of its first entry; reads wait until it is committed.
    :param round: Last round of heartbeats begun.
    :param heartbeat_due: Monotonic time of the next one, in seconds.
    :param check_due: Monotonic time at which appends without an answer are looked for
        next, in seconds.
    :param reads: Reads that wait for a round.
    :param early_reads: Tokens of reads that wait for the first commit.
    :param transfer_to: Replica that is to take over; 0 for none.
    :param transfer_until: Monotonic time at which the attempt is given up.
    :param uncommitted_bytes: Bytes of commands that are not committed.
    """

    progress_by_replica: dict[ReplicaId, Progress]
    first_index: LogIndex
    round: int = 0
    heartbeat_due: float = 0.0
    check_due: float = float("-inf")
    reads: list[PendingRead] = field(default_factory=list)
    early_reads: list[int] = field(default_factory=list)
    transfer_to: ReplicaId = NO_REPLICA
    transfer_until: float = 0.0
    uncommitted_bytes: int = 0


@dataclass(kw_only=True, slots=True)
class IncomingSnapshot:
    """Collect the parts of a snapshot."""

    index: LogIndex
    term: Term
    data: bytearray


@dataclass(frozen=True, kw_only=True, slots=True)
class MembershipAt:
    """Hold the membership that an entry sets."""

    index: LogIndex
    membership: Membership


@dataclass(kw_only=True, slots=True)
class NodeState:
    """Hold the whole state of a node.

    :param id: Name of this instance.
    :param replica: Number of its data folder.
    :param config: Timing and sizes.
    :param random: Source of election timeouts.
    :param log: Entries.
    :param snapshot: Newest snapshot; ``None`` before the founding.
    :param memberships: Memberships set by the snapshot and the entries after it.
    :param election_due: Monotonic time at which an election starts, in seconds.
    :param leader_heard_at: Monotonic time at which a leader was last heard.
    :param lost_rounds: Elections of this node since then that it has not won.
    :param given_way_to: Nodes for whose rounds this one has put off its own since.
    :param write_number: Number of the last write asked for.
    :param hard_state_write: Number of the last write of term and vote.
    :param synced_write: Number up to which all writes are synced.
    :param synced_index: Last index of the log that is synced.
    """

    id: InstanceId
    replica: ReplicaId
    config: ConsensusConfig
    random: Random
    log: Log
    snapshot: Snapshot | None
    memberships: list[MembershipAt]
    term: Term = NO_TERM
    voted_for: ReplicaId = NO_REPLICA
    role: NodeRole = NodeRole.FOLLOWER
    leader: InstanceId | None = None
    commit_index: LogIndex = NO_INDEX
    election_due: float = 0.0
    leader_heard_at: float = 0.0
    lost_rounds: int = 0
    given_way_to: set[ReplicaId] = field(default_factory=set)
    write_number: WriteNumber = NO_WRITE
    hard_state_write: WriteNumber = NO_WRITE
    synced_write: WriteNumber = NO_WRITE
    synced_index: LogIndex = NO_INDEX
    marks: deque[LogMark] = field(default_factory=deque)
    held: deque[HeldMessage] = field(default_factory=deque)
    votes: set[ReplicaId] = field(default_factory=set)
    leading: LeaderState | None = None
    incoming: IncomingSnapshot | None = None
    out: Outputs = field(default_factory=Outputs)

    @property
    def membership(self) -> Membership:
        """Return the newest membership in the log, committed or not."""
        return self.memberships[-1].membership if self.memberships else voters.EMPTY

    @property
    def membership_index(self) -> LogIndex:
        """Return the index that set the membership."""
        return self.memberships[-1].index if self.memberships else NO_INDEX

    @property
    def is_voter(self) -> bool:
        """Tell whether this replica votes."""
        return self.membership.is_voter(self.replica)

    @property
    def may_campaign(self) -> bool:
        """Tell whether this replica votes until the newest membership is committed.

        A voter whose own removal is not committed may hold the longest log, without
        which the others can elect nobody.
        """
        committed = [at for at in self.memberships if at.index <= self.commit_index]
        pending = [at for at in self.memberships if at.index > self.commit_index]
        in_force = committed[-1:] + pending
        return any(at.membership.is_voter(self.replica) for at in in_force)

    @classmethod
    def from_durable(
        cls,
        durable: DurableState,
        *,
        instance: InstanceId,
        config: ConsensusConfig,
        random: Random,
        now: float,
    ) -> "NodeState":
        """Start a node from what its data folder holds.

        :param durable: What was synced.
        :param instance: Name of this instance.
        :param config: Timing and sizes.
        :param random: Source of election timeouts.
        :param now: Monotonic time, in seconds.
        """
        log, memberships = _recovered_log(durable)
        snapshot = durable.snapshot
        state = cls(
            id=instance,
            replica=durable.replica,
            config=config,
            random=random,
            log=log,
            snapshot=snapshot,
            memberships=memberships,
            term=durable.hard_state.term,
            voted_for=durable.hard_state.voted_for,
            commit_index=snapshot.index if snapshot else NO_INDEX,
            synced_index=log.last_index,
            leader_heard_at=now,
        )
        state.reset_election(now)
        if config.is_self_managed:
            # Nobody counts on this voter's silence: leaders hold no leases, and a
            # pre-vote leaves one alone that others hear. So all that start at once
            # need not wait for a leader that ended with them.
            state.leader_heard_at = now - config.election_min_s
            wait_s = random.uniform(const.LOST_MIN_S, const.LOST_MAX_S)
            state.election_due = now + wait_s
        return state

    def reset_election(self, now: float) -> None:
        """Put the next election off by a random time.

        :param now: Monotonic time, in seconds.
        """
        config = self.config
        wait_s = self.random.uniform(config.election_min_s, config.election_max_s)
        self.election_due = now + wait_s

    def hard_state(self) -> HardState:
        """Return the term and vote."""
        return HardState(term=self.term, voted_for=self.voted_for)


def _recovered_log(durable: DurableState) -> tuple[Log, list[MembershipAt]]:
    snapshot = durable.snapshot
    base_index, base_term = NO_INDEX, NO_TERM
    memberships = []
    entries = durable.entries
    if snapshot is not None and not snapshot.is_followed_by(entries):
        entries = ()
    if snapshot is not None:
        base_index, base_term = snapshot.index, snapshot.term
        memberships.append(
            MembershipAt(index=snapshot.index, membership=snapshot.membership)
        )
    kept = tuple(entry for entry in entries if entry.index > base_index)
    for entry in kept:
        if entry.kind is EntryKind.MEMBERSHIP:
            membership = voters.decode(entry.data)
            memberships.append(MembershipAt(index=entry.index, membership=membership))
    return Log(base_index, base_term, kept), memberships
