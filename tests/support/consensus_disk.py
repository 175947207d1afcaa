"""A disk that forgets what was not synced."""

from dataclasses import replace

from mothshunt.consensus.types import (
    DurableState,
    WriteEntries,
    WriteHardState,
    WriteSnapshot,
)


class Disk:
    """Hold what is synced, and what is asked to be written but is not."""

    def __init__(self, replica):
        self.durable = DurableState(replica=replica)
        self.pending = []

    def submit(self, writes, last_number):
        first = last_number - len(writes) + 1
        self.pending.extend((first + i, write) for i, write in enumerate(writes))

    def sync(self, count):
        done, self.pending = self.pending[:count], self.pending[count:]
        for _, write in done:
            self._apply(write)
        return done[-1][0]

    def crash(self, random):
        """Keep a random part of what was being written, as the real files would."""
        batch = [write for _, write in self.pending[: random.randint(0, 6)]]
        self.pending = []
        votes = [w for w in batch if isinstance(w, WriteHardState)][-1:]
        snapshots = [w for w in batch if isinstance(w, WriteSnapshot)][-1:]
        stage = random.randint(0, 3)
        if stage >= 1 and votes:
            self._apply(votes[0])
        if stage >= 2 and snapshots:
            self.durable = replace(self.durable, snapshot=snapshots[0].snapshot)
        if stage >= 3:
            for write in batch:
                self._apply(write)

    def _apply(self, write):
        durable = self.durable
        if isinstance(write, WriteHardState):
            self.durable = replace(durable, hard_state=write.hard_state)
        elif isinstance(write, WriteEntries):
            first = write.entries[0].index
            kept = tuple(e for e in durable.entries if e.index < first)
            assert not kept or kept[-1].index == first - 1, "a gap on disk"
            self.durable = replace(durable, entries=kept + write.entries)
        else:
            kept = durable.entries
            kept = tuple(e for e in kept if e.index >= write.first_kept)
            kept = () if write.reset else kept
            self.durable = replace(durable, snapshot=write.snapshot, entries=kept)

    def holds(self, index):
        snapshot = self.durable.snapshot
        if index == 0 or (snapshot and snapshot.index >= index):
            return True
        entries = self.durable.entries
        return bool(entries) and entries[0].index <= index <= entries[-1].index

    def term_at(self, index):
        """Return the term of a synced entry, ``None`` where it is not held."""
        snapshot = self.durable.snapshot
        if snapshot and snapshot.index == index:
            return snapshot.term
        for entry in reversed(self.durable.entries):
            if entry.index == index:
                return entry.term
        return None
