"""Entries of the replicated log in memory."""

from collections.abc import Iterable, Sequence

from mothshunt.consensus import const
from mothshunt.consensus.types import Entry
from mothshunt.core.types import LogIndex, Term


class Log:
    """Hold consecutive entries after a base.

    :param base_index: Index before the first entry held.
    :param base_term: Term of the entry at the base.
    :param entries: Entries after the base.
    """

    def __init__(
        self, base_index: LogIndex, base_term: Term, entries: Iterable[Entry] = ()
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries = list(entries)

    @property
    def last_index(self) -> LogIndex:
        """Return the index of the last entry."""
        return LogIndex(self.base_index + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: LogIndex) -> Term | None:
        """Return the term of an entry, ``None`` where it is not held.

        :param index: Its position.
        """
        if index == self.base_index:
            return self.base_term
        if index < self.base_index or index > self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entries(
        self, first: LogIndex, last: LogIndex, max_bytes: int | None = None
    ) -> Sequence[Entry]:
        """Return entries that are held, at least one where there is any.

        :param first: First index.
        :param last: Last index, included.
        :param max_bytes: About the most bytes of all together.
        """
        start = max(first, self.base_index + 1) - self.base_index - 1
        found = self._entries[start : max(start, last - self.base_index)]
        if max_bytes is None:
            return found
        size = 0
        for count, entry in enumerate(found):
            size += len(entry.data) + const.ENTRY_OVERHEAD_BYTES
            if size > max_bytes and count > 0:
                return found[:count]
        return found

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries that follow the last one.

        :param entries: Entries with consecutive indices.
        """
        if entries and entries[0].index != self.last_index + 1:
            raise ValueError("entries leave a gap in the log")
        self._entries.extend(entries)

    def truncate(self, first: LogIndex) -> None:
        """Drop all entries from an index on.

        :param first: First index to drop.
        """
        del self._entries[max(0, first - self.base_index - 1) :]

    def first_index_of_term(self, index: LogIndex) -> LogIndex:
        """Return the first held index with the same term as a held entry.

        :param index: Position of the entry.
        """
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(LogIndex(index - 1)) == term:
            index = LogIndex(index - 1)
        return index

    def last_index_of_term(self, term: Term) -> LogIndex | None:
        """Return the last held index with a term, ``None`` where there is none.

        :param term: The term.
        """
        for entry in reversed(self._entries):
            if entry.term == term:
                return entry.index
            if entry.term < term:
                break
        return self.base_index if self.base_term == term else None

    def oldest_base(
        self, index: LogIndex, max_entries: int, max_bytes: int
    ) -> LogIndex:
        """Return the base from which a limited number of entries leads to an index.

        :param index: Index of the last of these entries.
        :param max_entries: Most entries.
        :param max_bytes: Most bytes of them together.
        """
        base, size = index, 0
        while base > max(self.base_index, index - max_entries):
            entry = self._entries[base - self.base_index - 1]
            size += len(entry.data) + const.ENTRY_OVERHEAD_BYTES
            if size > max_bytes:
                break
            base = LogIndex(base - 1)
        return base

    def compact(self, index: LogIndex) -> None:
        """Drop all entries up to an index that is held.

        :param index: The new base.
        """
        if index <= self.base_index:
            return
        term = self.term_at(index)
        if term is None:
            raise ValueError("the log cannot be compacted past its end")
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: LogIndex, term: Term) -> None:
        """Drop all entries and start after a snapshot.

        :param index: Last index that the snapshot holds.
        :param term: Term of that entry.
        """
        self._entries.clear()
        self.base_index = index
        self.base_term = term
