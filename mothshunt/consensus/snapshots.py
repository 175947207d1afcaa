"""Catch-up of members whose missing entries the leader has dropped."""

from mothshunt.consensus import emit
from mothshunt.consensus.messages import AppendAnswer, SnapshotAnswer, SnapshotChunk
from mothshunt.consensus.state import (
    IncomingSnapshot,
    MembershipAt,
    NodeState,
    Progress,
)
from mothshunt.consensus.types import NO_INDEX, NO_TERM, Snapshot
from mothshunt.consensus.voters import Membership
from mothshunt.core.types import InstanceId, LogIndex


def start_sending(state: NodeState, progress: Progress, now: float) -> None:
    """Begin to send the newest snapshot to a member.

    :param state: The node, a leader.
    :param progress: The member.
    :param now: Monotonic time, in seconds.
    """
    if state.snapshot is None:
        raise AssertionError("entries were dropped without a snapshot")
    progress.sending = state.snapshot
    progress.snapshot_offset = 0
    progress.in_flight = 0
    send_chunk(state, progress, now)


def send_chunk(state: NodeState, progress: Progress, now: float) -> None:
    """Send the next part of a snapshot.

    :param state: The node, a leader.
    :param progress: The member.
    :param now: Monotonic time, in seconds.
    """
    snapshot = progress.sending
    if snapshot is None:
        return
    start = progress.snapshot_offset
    chunk = SnapshotChunk(
        term=state.term,
        source=state.replica,
        destination=progress.member.replica,
        index=snapshot.index,
        snapshot_term=snapshot.term,
        membership=snapshot.membership,
        offset=start,
        size=len(snapshot.data),
        data=snapshot.data[start : start + state.config.snapshot_chunk_bytes],
    )
    progress.sent_at = now
    emit.send(state, progress.member.id, chunk)


def on_answer(
    state: NodeState, progress: Progress, answer: SnapshotAnswer, now: float
) -> None:
    """Go on with a snapshot from where the member is.

    :param state: The node, a leader.
    :param progress: The member.
    :param answer: How far it is.
    :param now: Monotonic time, in seconds.
    """
    if progress.sending is None or answer.index != progress.sending.index:
        return
    if answer.received == progress.snapshot_offset and answer.received > 0:
        return
    progress.snapshot_offset = answer.received
    send_chunk(state, progress, now)


def on_installed(progress: Progress, index: LogIndex) -> None:
    """Go back to sending entries once a member reached a snapshot's index.

    :param progress: The member.
    :param index: Last index that it acknowledged.
    """
    if progress.sending is not None and index >= progress.sending.index:
        progress.sending = None
        progress.snapshot_offset = 0
        progress.in_flight = 0
        progress.next = LogIndex(index + 1)
        progress.probing = True


def on_chunk(
    state: NodeState, peer: InstanceId, chunk: SnapshotChunk, now: float
) -> None:
    """Collect a part of a snapshot and install it when it is whole.

    :param state: The node, a follower.
    :param peer: The leader.
    :param chunk: The part.
    :param now: Monotonic time, in seconds.
    """
    if chunk.index <= state.commit_index:
        state.incoming = None
        _acknowledge(state, peer, chunk, state.commit_index)
        return
    incoming = state.incoming
    key = (chunk.index, chunk.snapshot_term)
    if incoming is None or (incoming.index, incoming.term) != key:
        incoming = IncomingSnapshot(
            index=chunk.index, term=chunk.snapshot_term, data=bytearray()
        )
        state.incoming = incoming
    if chunk.offset == len(incoming.data):
        incoming.data.extend(chunk.data)
    if len(incoming.data) < chunk.size:
        _report(state, peer, chunk, len(incoming.data))
        return
    state.incoming = None
    _install(state, chunk, bytes(incoming.data))
    _acknowledge(state, peer, chunk, chunk.index)


def _install(state: NodeState, chunk: SnapshotChunk, data: bytes) -> None:
    snapshot = Snapshot(
        index=chunk.index,
        term=chunk.snapshot_term,
        membership=chunk.membership,
        data=data,
    )
    holds_entry = state.log.term_at(chunk.index) == chunk.snapshot_term
    state.snapshot = snapshot
    state.out.applies.append(snapshot)
    state.commit_index = chunk.index
    base = MembershipAt(index=chunk.index, membership=chunk.membership)
    later = [at for at in state.memberships if at.index > chunk.index]
    if holds_entry:
        state.log.compact(chunk.index)
        state.memberships = [base, *later]
    else:
        state.log.reset(chunk.index, chunk.snapshot_term)
        state.memberships = [base]
        state.synced_index = min(state.synced_index, chunk.index)
        for mark in state.marks:
            mark.last_index = LogIndex(0)
    first_kept = LogIndex(chunk.index + 1)
    emit.write_snapshot(state, snapshot, reset=not holds_entry, first_kept=first_kept)


def _report(
    state: NodeState, peer: InstanceId, chunk: SnapshotChunk, received: int
) -> None:
    answer = SnapshotAnswer(
        term=state.term,
        source=state.replica,
        destination=chunk.source,
        index=chunk.index,
        received=received,
    )
    emit.send(state, peer, answer)


def _acknowledge(
    state: NodeState, peer: InstanceId, chunk: SnapshotChunk, index: LogIndex
) -> None:
    answer = AppendAnswer(
        term=state.term,
        source=state.replica,
        destination=chunk.source,
        accepted=True,
        index=index,
    )
    emit.send_when_synced(state, peer, answer)


def found(state: NodeState, membership: Membership) -> None:
    """Keep the first membership as a snapshot before the first entry.

    :param state: The node, which knows of no membership.
    :param membership: The membership.
    """
    snapshot = Snapshot(index=NO_INDEX, term=NO_TERM, membership=membership, data=b"")
    state.snapshot = snapshot
    state.memberships = [MembershipAt(index=NO_INDEX, membership=membership)]
    emit.write_snapshot(state, snapshot, reset=False, first_kept=LogIndex(1))


def compact(state: NodeState, index: LogIndex, data: bytes) -> None:
    """Keep a snapshot of the applied state and drop old entries.

    :param state: The node.
    :param index: Last applied index, which the state holds.
    :param data: The encoded state.
    """
    term = state.log.term_at(index)
    if term is None or index <= (state.snapshot.index if state.snapshot else 0):
        return
    at = next(at for at in reversed(state.memberships) if at.index <= index)
    snapshot = Snapshot(index=index, term=term, membership=at.membership, data=data)
    state.snapshot = snapshot
    later = [later for later in state.memberships if later.index > index]
    state.memberships = [MembershipAt(index=at.index, membership=at.membership), *later]
    state.log.compact(
        state.log.oldest_base(index, state.config.keep_entries, state.config.keep_bytes)
    )
    emit.write_snapshot(
        state, snapshot, reset=False, first_kept=LogIndex(state.log.base_index + 1)
    )
