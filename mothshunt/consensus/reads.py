"""Reads confirmed by a majority, and the heartbeats that confirm them."""

from mothshunt.consensus import emit
from mothshunt.consensus.messages import Heartbeat
from mothshunt.consensus.state import LeaderState, NodeState, PendingRead, ReadAnswer
from mothshunt.consensus.voters import ReplicaId
from mothshunt.core.types import LogIndex


def start_round(state: NodeState, leading: LeaderState, now: float) -> None:
    """Send heartbeats to all members.

    :param state: The node, a leader.
    :param leading: Its state as a leader.
    :param now: Monotonic time, in seconds.
    """
    leading.round += 1
    leading.heartbeat_due = now + state.config.heartbeat_s
    for progress in leading.progress_by_replica.values():
        heartbeat = Heartbeat(
            term=state.term,
            source=state.replica,
            destination=progress.member.replica,
            round=leading.round,
            commit_index=min(state.commit_index, progress.match),
        )
        emit.send(state, progress.member.id, heartbeat)


def request(state: NodeState, tokens: list[int], now: float) -> None:
    """Ask for the commit index, confirmed by a round that begins now.

    :param state: The node.
    :param tokens: Numbers of the reads.
    :param now: Monotonic time, in seconds.
    """
    leading = state.leading
    if leading is None:
        state.out.reads.extend(ReadAnswer(token=token, index=None) for token in tokens)
        return
    if state.commit_index < leading.first_index:
        leading.early_reads.extend(tokens)
        return
    index = state.commit_index
    waits = any(read.round == leading.round for read in leading.reads)
    following = leading.round + 1
    leading.reads.extend(
        PendingRead(token=token, index=index, round=following) for token in tokens
    )
    # While a round for earlier reads is under way, later reads share the next one.
    if not waits:
        start_round(state, leading, now)
        answer_confirmed(state, leading, now)


def release_early(state: NodeState, leading: LeaderState, now: float) -> None:
    """Start reads that waited for the first commit of the term.

    :param state: The node, a leader.
    :param leading: Its state as a leader.
    :param now: Monotonic time, in seconds.
    """
    if not leading.early_reads or state.commit_index < leading.first_index:
        return
    tokens = leading.early_reads
    leading.early_reads = []
    request(state, tokens, now)


def answer_confirmed(state: NodeState, leading: LeaderState, now: float) -> None:
    """Answer the reads whose round a majority has answered.

    :param state: The node, a leader.
    :param leading: Its state as a leader.
    :param now: Monotonic time, in seconds.
    """
    if not leading.reads:
        return
    confirmed = _confirmed_round(state, leading)
    done = [read for read in leading.reads if read.round <= confirmed]
    if not done:
        return
    leading.reads = [read for read in leading.reads if read.round > confirmed]
    state.out.reads.extend(
        ReadAnswer(token=read.token, index=LogIndex(read.index)) for read in done
    )
    if any(read.round > leading.round for read in leading.reads):
        start_round(state, leading, now)
        answer_confirmed(state, leading, now)


def _confirmed_round(state: NodeState, leading: LeaderState) -> int:
    progress_by_replica = leading.progress_by_replica

    def answered(replica: ReplicaId) -> int:
        if replica == state.replica:
            return leading.round
        progress = progress_by_replica.get(replica)
        return progress.round if progress is not None else 0

    return state.membership.quorum_value(answered)
