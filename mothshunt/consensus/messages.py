"""Messages between the nodes of the replicated log."""

from dataclasses import dataclass

from mothshunt.consensus.types import NO_INDEX, NO_TERM, Entry
from mothshunt.consensus.voters import Member, Membership, ReplicaId
from mothshunt.core.types import InstanceId, LogIndex, Ran, Term
from mothshunt.util.wire import message


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeMessage:
    """Hold what all messages between nodes carry.

    :param term: Term of the sender; of the vote asked for in a vote request.
    :param source: Replica that sends.
    :param destination: Replica that is meant; others ignore the message.
    """

    term: Term
    source: ReplicaId
    destination: ReplicaId


@message("consensus.vote_request")
@dataclass(frozen=True, kw_only=True, slots=True)
class VoteRequest(NodeMessage):
    """Ask for a vote.

    :param last_index: Last index of the candidate's log.
    :param last_term: Term of that entry.
    :param pre_vote: Whether only to tell if a vote would be granted.
    :param transfer: Whether the leader itself asked for the election.
    """

    last_index: LogIndex
    last_term: Term
    pre_vote: bool
    transfer: bool = False


@message("consensus.vote_answer")
@dataclass(frozen=True, kw_only=True, slots=True)
class VoteAnswer(NodeMessage):
    """Grant or refuse a vote; the term of a granted one is the one asked for."""

    pre_vote: bool
    granted: bool


@message("consensus.append")
@dataclass(frozen=True, kw_only=True, slots=True)
class Append(NodeMessage):
    """Replicate entries.

    :param previous_index: Index before the first entry.
    :param previous_term: Term of the entry there.
    :param entries: Entries with consecutive indices.
    :param commit_index: Commit index of the leader.
    """

    previous_index: LogIndex
    previous_term: Term
    entries: tuple[Entry, ...]
    commit_index: LogIndex


@message("consensus.append_answer")
@dataclass(frozen=True, kw_only=True, slots=True)
class AppendAnswer(NodeMessage):
    """Acknowledge entries that are synced, or refuse them.

    :param accepted: Whether the entries follow the log of the sender.
    :param index: Last index that matches and is synced; when refused, the
        ``previous_index`` that was refused.
    :param conflict_index: Index from which the leader should send.
    :param conflict_term: Term of the conflicting entry; 0 where there is none.
    """

    accepted: bool
    index: LogIndex
    conflict_index: LogIndex = NO_INDEX
    conflict_term: Term = NO_TERM


@message("consensus.heartbeat")
@dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat(NodeMessage):
    """Tell that the leader lives.

    :param round: Number of the round; answers confirm the leader as of its start.
    :param commit_index: Commit index, at most what the receiver has acknowledged.
    """

    round: int
    commit_index: LogIndex


@message("consensus.heartbeat_answer")
@dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatAnswer(NodeMessage):
    """Answer a heartbeat.

    :param round: Number of the round.
    """

    round: int


@message("consensus.snapshot_chunk")
@dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotChunk(NodeMessage):
    """Carry a part of a snapshot.

    :param index: Last index that the snapshot holds.
    :param snapshot_term: Term of that entry.
    :param membership: Membership at that entry.
    :param offset: Place of the part in the data, in bytes.
    :param size: Size of the whole data, in bytes.
    :param data: The part.
    """

    index: LogIndex
    snapshot_term: Term
    membership: Membership
    offset: int
    size: int
    data: bytes


@message("consensus.snapshot_answer")
@dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotAnswer(NodeMessage):
    """Tell how much of a snapshot has arrived.

    :param index: Last index that the snapshot holds.
    :param received: Bytes that have arrived.
    """

    index: LogIndex
    received: int


@message("consensus.timeout_now")
@dataclass(frozen=True, kw_only=True, slots=True)
class TimeoutNow(NodeMessage):
    """Ask the receiver to start an election at once, to take over leadership."""


@message("consensus.hello")
@dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """Ask a control instance what it knows, and tell of oneself.

    :param sender: The instance that asks, with the number of its data folder.
    """

    sender: Member


@message("consensus.hello_answer")
@dataclass(frozen=True, kw_only=True, slots=True)
class HelloAnswer:
    """Tell what a control instance knows.

    :param sender: The instance that answers.
    :param membership: Newest membership in its log; ``None`` where its folder is empty.
    :param leader: Leader that it knows of.
    """

    sender: Member
    membership: Membership | None
    leader: InstanceId | None


NO_PROPOSER = InstanceId("")


@dataclass(frozen=True, order=True, slots=True)
class Ballot:
    """Order the proposals of founding memberships.

    :param round: Number that rises; 0 for no proposal.
    :param proposer: Instance that proposes; sets equal rounds apart.
    """

    round: int = 0
    proposer: InstanceId = NO_PROPOSER


NO_BALLOT = Ballot()


@message("consensus.founding_prepare")
@dataclass(frozen=True, kw_only=True, slots=True)
class FoundingPrepare:
    """Ask for a promise to take part in no lower ballot of the founding.

    :param initial: Instances that may found the log, sorted.
    :param ballot: Ballot of the proposal.
    """

    initial: tuple[InstanceId, ...]
    ballot: Ballot


@message("consensus.founding_accept")
@dataclass(frozen=True, kw_only=True, slots=True)
class FoundingAccept:
    """Ask for a founding membership to be accepted.

    :param initial: Instances that may found the log, sorted.
    :param ballot: Ballot of the proposal.
    :param membership: The membership.
    """

    initial: tuple[InstanceId, ...]
    ballot: Ballot
    membership: Membership


@message("consensus.founding_answer")
@dataclass(frozen=True, kw_only=True, slots=True)
class FoundingAnswer:
    """Grant or refuse one step of a proposal.

    :param sender: The instance that answers, with the number of its data folder.
    :param is_granted: Whether it promised, or accepted.
    :param promised: Highest ballot that it has promised to.
    :param accepted: Ballot of the membership that it accepted last.
    :param membership: That membership; ``None`` where it accepted none.
    """

    sender: Member
    is_granted: bool
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    membership: Membership | None = None


@message("consensus.founded")
@dataclass(frozen=True, kw_only=True, slots=True)
class Founded:
    """Tell the founding membership that a majority has accepted.

    :param membership: The membership.
    """

    membership: Membership


@message("consensus.rejoin")
@dataclass(frozen=True, kw_only=True, slots=True)
class Rejoin:
    """Ask the leader to admit a member again whose data folder is another one.

    :param member: The member with its present data folder.
    """

    member: Member


@message("consensus.propose")
@dataclass(frozen=True, kw_only=True, slots=True)
class Propose:
    """Forward a command to the leader.

    :param command: The command.
    :param timeout_s: Seconds that the leader may wait for its outcome.
    """

    command: bytes
    timeout_s: float


@message("consensus.read")
@dataclass(frozen=True, kw_only=True, slots=True)
class Read:
    """Ask the leader for a confirmed commit index.

    :param timeout_s: Seconds that the leader may wait for a majority.
    """

    timeout_s: float


@message("consensus.add_voter")
@dataclass(frozen=True, kw_only=True, slots=True)
class AddVoter:
    """Forward the admission of a voter to the leader.

    :param id: Name of the instance.
    :param host: IP number of its peer streams.
    :param port: TCP port of its peer streams.
    :param timeout_s: Seconds that the leader may wait.
    """

    id: InstanceId
    host: str
    port: int
    timeout_s: float


@message("consensus.remove_voter")
@dataclass(frozen=True, kw_only=True, slots=True)
class RemoveVoter:
    """Forward the removal of a voter to the leader.

    :param id: Name of the instance.
    :param timeout_s: Seconds that the leader may wait.
    """

    id: InstanceId
    timeout_s: float


@message("consensus.answer")
@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """Answer a forwarded request.

    :param code: Number of the failure; 0 for success.
    :param outcome: Outcome of a command.
    :param index: Index of a read or of a change of the voters.
    :param detail: Text for a person.
    :param ran: Whether a command may have been accepted.
    :param retry_after_s: Seconds after which to try again.
    """

    code: int = 0
    outcome: bytes = b""
    index: LogIndex = NO_INDEX
    detail: str = ""
    ran: Ran = Ran.NO
    retry_after_s: float | None = None
