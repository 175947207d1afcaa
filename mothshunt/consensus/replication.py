"""Replication of entries from the leader to the other members."""

from mothshunt.consensus import const, emit, snapshots
from mothshunt.consensus.messages import Append, AppendAnswer
from mothshunt.consensus.state import LeaderState, NodeState, Progress
from mothshunt.consensus.types import Entry
from mothshunt.consensus.voters import ReplicaId
from mothshunt.core.types import InstanceId, LogIndex, Term


def send_entries(state: NodeState, progress: Progress, now: float) -> None:
    """Send a member what it lacks, as far as its window allows.

    :param state: The node, a leader.
    :param progress: The member.
    :param now: Monotonic time, in seconds.
    """
    if progress.sending:
        return
    if progress.probing:
        if progress.in_flight == 0:
            _send_append(state, progress, now)
        return
    while (
        progress.next <= state.log.last_index
        and progress.in_flight < const.MAX_APPENDS_IN_FLIGHT
        and not progress.sending
    ):
        _send_append(state, progress, now)


def _send_append(state: NodeState, progress: Progress, now: float) -> None:
    previous = LogIndex(progress.next - 1)
    previous_term = state.log.term_at(previous)
    if previous_term is None:
        snapshots.start_sending(state, progress, now)
        return
    entries = state.log.entries(
        progress.next, state.log.last_index, const.MAX_APPEND_BYTES
    )
    append = Append(
        term=state.term,
        source=state.replica,
        destination=progress.member.replica,
        previous_index=previous,
        previous_term=previous_term,
        entries=tuple(entries),
        commit_index=state.commit_index,
    )
    if progress.in_flight == 0:
        progress.sent_at = now
    progress.in_flight += 1
    if not progress.probing:
        progress.next = LogIndex(progress.next + len(entries))
    emit.send(state, progress.member.id, append)


def resend_if_late(state: NodeState, progress: Progress, now: float) -> None:
    """Start again from what a member acknowledged when answers do not come.

    :param state: The node, a leader.
    :param progress: The member.
    :param now: Monotonic time, in seconds.
    """
    behind = progress.match < state.log.last_index
    if not behind and not progress.probing:
        return
    waits = progress.in_flight > 0 or progress.sending is not None
    if waits and now - progress.sent_at < state.config.resend_s:
        return
    progress.in_flight = 0
    if progress.sending:
        snapshots.send_chunk(state, progress, now)
        return
    if not progress.probing:
        progress.probing = True
        progress.next = LogIndex(progress.match + 1)
    send_entries(state, progress, now)


def tell_commit(state: NodeState, progress: Progress) -> None:
    """Tell a member of a higher commit index, unless entries will carry it.

    :param state: The node, a leader.
    :param progress: The member.
    """
    if progress.probing or progress.next <= state.log.last_index:
        return
    append = Append(
        term=state.term,
        source=state.replica,
        destination=progress.member.replica,
        previous_index=LogIndex(progress.next - 1),
        previous_term=state.log.last_term,
        entries=(),
        commit_index=state.commit_index,
    )
    emit.send(state, progress.member.id, append)


def on_append(state: NodeState, peer: InstanceId, append: Append, now: float) -> None:
    """Take entries from the leader of the present term.

    :param state: The node, a follower.
    :param peer: The leader.
    :param append: Its entries.
    :param now: Monotonic time, in seconds.
    """
    held_term = state.log.term_at(append.previous_index)
    is_compacted = append.previous_index < state.log.base_index
    if not is_compacted and held_term != append.previous_term:
        _reject_append(state, peer, append)
        return
    _take(state, append.entries)
    match = LogIndex(append.previous_index + len(append.entries))
    advance_commit(state, min(append.commit_index, match))
    answer = AppendAnswer(
        term=state.term,
        source=state.replica,
        destination=append.source,
        accepted=True,
        index=match,
    )
    emit.send_when_synced(state, peer, answer)


def _take(state: NodeState, entries: tuple[Entry, ...]) -> None:
    for position, entry in enumerate(entries):
        if entry.index <= state.log.base_index:
            continue
        held_term = state.log.term_at(entry.index)
        if held_term == entry.term:
            continue
        if held_term is not None:
            emit.truncate(state, entry.index)
        emit.append_entries(state, entries[position:])
        return


def _reject_append(state: NodeState, peer: InstanceId, append: Append) -> None:
    conflict_index = LogIndex(state.log.last_index + 1)
    conflict_term = Term(0)
    held_term = state.log.term_at(append.previous_index)
    if held_term is not None:
        conflict_index = state.log.first_index_of_term(append.previous_index)
        conflict_term = held_term
    answer = AppendAnswer(
        term=state.term,
        source=state.replica,
        destination=append.source,
        accepted=False,
        index=append.previous_index,
        conflict_index=conflict_index,
        conflict_term=conflict_term,
    )
    emit.send(state, peer, answer)


def on_append_answer(
    state: NodeState, progress: Progress, answer: AppendAnswer, now: float
) -> None:
    """Note what a member has, and send what it still lacks.

    :param state: The node, a leader.
    :param progress: The member.
    :param answer: Its answer.
    :param now: Monotonic time, in seconds.
    """
    if not answer.accepted and _is_stale_refusal(progress, answer):
        return
    progress.in_flight = max(0, progress.in_flight - 1)
    progress.sent_at = now
    if answer.accepted:
        progress.match = max(progress.match, answer.index)
        progress.next = max(progress.next, LogIndex(progress.match + 1))
        progress.probing = False
        snapshots.on_installed(progress, answer.index)
    else:
        _step_back(state, progress, answer)
    if progress.match < state.log.last_index or progress.probing:
        send_entries(state, progress, now)


def _is_stale_refusal(progress: Progress, answer: AppendAnswer) -> bool:
    if progress.sending or answer.index <= progress.match:
        return True
    return progress.probing and answer.index != progress.next - 1


def _step_back(state: NodeState, progress: Progress, answer: AppendAnswer) -> None:
    following = answer.conflict_index
    if answer.conflict_term:
        last = state.log.last_index_of_term(answer.conflict_term)
        if last is not None:
            following = LogIndex(last + 1)
    following = min(following, answer.index)
    progress.next = max(LogIndex(progress.match + 1), following)
    progress.probing = True
    progress.in_flight = 0


def commit_by_quorum(state: NodeState, leading: LeaderState) -> bool:
    """Commit what a majority has synced, when it is of the leader's own term.

    :param state: The node, a leader.
    :param leading: Its state as a leader.
    :return: Whether the commit index went up.
    """
    progress_by_replica = leading.progress_by_replica

    def matched(replica: ReplicaId) -> int:
        if replica == state.replica:
            return state.synced_index
        progress = progress_by_replica.get(replica)
        return progress.match if progress is not None else 0

    index = LogIndex(state.membership.quorum_value(matched))
    if index <= state.commit_index or state.log.term_at(index) != state.term:
        return False
    return advance_commit(state, index)


def advance_commit(state: NodeState, index: LogIndex) -> bool:
    """Give committed entries out to be applied.

    :param state: The node.
    :param index: An index that is committed; the log may not reach it yet.
    :return: Whether the commit index went up.
    """
    index = min(index, state.log.last_index)
    if index <= state.commit_index:
        return False
    first = LogIndex(state.commit_index + 1)
    entries = state.log.entries(first, index)
    state.out.applies.extend(entries)
    if state.leading is not None:
        size = sum(len(entry.data) for entry in entries)
        leading = state.leading
        leading.uncommitted_bytes = max(0, leading.uncommitted_bytes - size)
    state.commit_index = index
    return True
