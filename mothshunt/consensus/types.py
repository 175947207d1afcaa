"""Entries, snapshots and writes of the replicated log."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NewType

from mothshunt.consensus.voters import NO_REPLICA, Membership, ReplicaId
from mothshunt.core.types import LogIndex, Term

#: Number of a write; a write is synced when all up to its number are.
WriteNumber = NewType("WriteNumber", int)
NO_WRITE = WriteNumber(0)
NO_INDEX = LogIndex(0)
NO_TERM = Term(0)


class NodeRole(Enum):
    """What a node does in the present term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class EntryKind(Enum):
    """What the data of an entry is."""

    COMMAND = 0
    MEMBERSHIP = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """Hold one entry of the log.

    :param term: Term of the leader that made it.
    :param index: Its position.
    :param kind: What ``data`` is.
    :param data: Command, or encoded membership.
    """

    term: Term
    index: LogIndex
    kind: EntryKind
    data: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """Hold the state after all entries up to an index.

    :param index: Last entry that is held; 0 for the founding membership.
    :param term: Term of that entry.
    :param membership: Membership in force at that entry.
    :param data: Encoded state.
    """

    index: LogIndex
    term: Term
    membership: Membership
    data: bytes

    def is_followed_by(self, entries: Sequence[Entry]) -> bool:
        """Tell whether entries of the log continue this snapshot.

        They don't if they end before it, or if it replaced them: they are left from
        before the snapshot was received.

        :param entries: Consecutive entries.
        """
        if not entries or entries[0].index > self.index:
            return True
        return any(e.index == self.index and e.term == self.term for e in entries)


@dataclass(frozen=True, kw_only=True, slots=True)
class HardState:
    """Hold what a node must not forget of its votes.

    :param term: Highest term that it has seen.
    :param voted_for: Replica that got its vote in the term; 0 for none.
    """

    term: Term = NO_TERM
    voted_for: ReplicaId = NO_REPLICA


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteHardState:
    """Ask for the term and vote to be written."""

    hard_state: HardState


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteEntries:
    """Ask for entries to be written; they replace all from the first one's index.

    :param entries: Entries with consecutive indices.
    """

    entries: tuple[Entry, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteSnapshot:
    """Ask for a snapshot to be written.

    :param snapshot: The snapshot.
    :param reset: Whether all entries are dropped.
    :param first_kept: First index whose entry must be kept.
    """

    snapshot: Snapshot
    reset: bool
    first_kept: LogIndex


Write = WriteHardState | WriteEntries | WriteSnapshot


@dataclass(frozen=True, kw_only=True, slots=True)
class DurableState:
    """Hold what a data folder holds.

    :param replica: Number of the folder.
    :param hard_state: Term and vote.
    :param snapshot: Newest snapshot; ``None`` before the founding.
    :param entries: Entries with consecutive indices.
    """

    replica: ReplicaId
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
