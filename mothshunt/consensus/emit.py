"""Writes and messages of a node, in the order that keeps its promises."""

from collections.abc import Sequence

from mothshunt.consensus import voters
from mothshunt.consensus.messages import NodeMessage
from mothshunt.consensus.state import (
    HeldMessage,
    LogMark,
    MembershipAt,
    NodeState,
    Outgoing,
)
from mothshunt.consensus.types import (
    Entry,
    EntryKind,
    Snapshot,
    Write,
    WriteEntries,
    WriteHardState,
    WriteNumber,
    WriteSnapshot,
)
from mothshunt.core.types import InstanceId, LogIndex


def send(state: NodeState, peer: InstanceId, message: NodeMessage) -> None:
    """Send a message once the term and vote that it tells of are synced.

    :param state: The node.
    :param peer: Receiver.
    :param message: The message.
    """
    _send_after(state, peer, message, state.hard_state_write)


def send_when_synced(state: NodeState, peer: InstanceId, message: NodeMessage) -> None:
    """Send a message once everything asked to be written so far is synced.

    :param state: The node.
    :param peer: Receiver.
    :param message: The message.
    """
    _send_after(state, peer, message, state.write_number)


def _send_after(
    state: NodeState, peer: InstanceId, message: NodeMessage, after: WriteNumber
) -> None:
    outgoing = Outgoing(peer=peer, message=message)
    if after <= state.synced_write:
        state.out.messages.append(outgoing)
        return
    state.held.append(HeldMessage(after=after, outgoing=outgoing))


def write_hard_state(state: NodeState) -> None:
    """Have the term and vote written.

    :param state: The node.
    """
    state.hard_state_write = _write(
        state, WriteHardState(hard_state=state.hard_state())
    )


def append_entries(state: NodeState, entries: Sequence[Entry]) -> None:
    """Append entries to the log and have them written.

    :param state: The node.
    :param entries: Entries that follow the log.
    """
    state.log.append(entries)
    for entry in entries:
        if entry.kind is EntryKind.MEMBERSHIP:
            membership = voters.decode(entry.data)
            state.memberships.append(
                MembershipAt(index=entry.index, membership=membership)
            )
    number = _write(state, WriteEntries(entries=tuple(entries)))
    state.marks.append(LogMark(number=number, last_index=state.log.last_index))


def truncate(state: NodeState, first: LogIndex) -> None:
    """Drop entries that the leader does not have.

    :param state: The node.
    :param first: First index to drop.
    """
    if first <= state.commit_index:
        raise AssertionError("a committed entry would be dropped")
    state.log.truncate(first)
    last = LogIndex(first - 1)
    state.memberships = [at for at in state.memberships if at.index <= last]
    state.synced_index = min(state.synced_index, last)
    for mark in state.marks:
        mark.last_index = min(mark.last_index, last)


def write_snapshot(
    state: NodeState, snapshot: Snapshot, *, reset: bool, first_kept: LogIndex
) -> None:
    """Have a snapshot written.

    :param state: The node.
    :param snapshot: The snapshot.
    :param reset: Whether it replaces the whole log.
    :param first_kept: First index whose entry must be kept on disk.
    """
    write = WriteSnapshot(snapshot=snapshot, reset=reset, first_kept=first_kept)
    number = _write(state, write)
    if reset:
        state.marks.append(LogMark(number=number, last_index=snapshot.index))


def release(state: NodeState, number: WriteNumber) -> None:
    """Note that writes are synced and send what waited for them.

    :param state: The node.
    :param number: Number up to which all writes are synced.
    """
    state.synced_write = max(state.synced_write, number)
    while state.marks and state.marks[0].number <= state.synced_write:
        state.synced_index = max(state.synced_index, state.marks.popleft().last_index)
    kept = [held for held in state.held if held.after > state.synced_write]
    for held in state.held:
        # An answer given in an earlier term is of no use to its leader any more.
        current = held.outgoing.message.term >= state.term
        if held.after <= state.synced_write and current:
            state.out.messages.append(held.outgoing)
    state.held.clear()
    state.held.extend(kept)


def _write(state: NodeState, write: Write) -> WriteNumber:
    state.write_number = WriteNumber(state.write_number + 1)
    state.out.writes.append(write)
    state.out.last_write = state.write_number
    return state.write_number
