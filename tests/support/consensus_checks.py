"""Pure nodes whose every step is checked against what was promised."""

from mothshunt.consensus.types import (
    EntryKind,
    NodeRole,
    Snapshot,
)
from tests.support import consensus_promises as promises
from tests.support.consensus_process import CONFIG


class CheckedNodes:
    """Do what nodes decide, and check it."""

    def __init__(self):
        self.time = 0.0
        self.messages = []
        self.history = []  # (term, data) of the entry at each committed index
        self.answered = set()
        self.refused = set()
        self.leader_by_term = {}
        self.asked_by_token = {}
        self.disk_by_replica = {}

    def now(self, process):
        return process.clock_offset + process.clock_rate * self.time

    # What must hold

    def perform(self, process, outputs):
        process.disk.submit(outputs.writes, outputs.last_write)
        for outgoing in outputs.messages:
            promises.check_is_durable(process.disk, outgoing.message)
            self.messages.append((process.id, outgoing.peer, outgoing.message))
        for item in outputs.applies:
            self._apply(process, item)
        for answer in outputs.reads:
            asked = self.asked_by_token.pop(answer.token)
            stale = answer.index is not None and answer.index < asked
            assert not stale, f"a read gave {answer.index} after {asked} was accepted"
        self._check_state(process)
        self._compact(process)

    def _apply(self, process, item):
        if isinstance(item, Snapshot):
            process.applied = self._restored(item)
            process.waiters.skipped(item.index, "a snapshot")
            return
        assert item.index == len(process.applied) + 1, "an index was skipped"
        value = (item.term, item.kind, item.data)
        if item.index <= len(self.history):
            assert self.history[item.index - 1] == value, "an accepted change was lost"
        else:
            self.history.append(value)
        assert item.data not in self.refused, "ran although it was refused"
        process.applied.append(value)
        process.waiters.applied(item.index, item.term, b"")

    def _restored(self, snapshot):
        if snapshot.index == 0:
            return []
        assert snapshot.data == self._data_at(snapshot.index), "a wrong snapshot"
        return self.history[: snapshot.index]

    def _data_at(self, index):
        commands = [d for _, k, d in self.history[:index] if k is EntryKind.COMMAND]
        return b" ".join(commands)

    def _check_state(self, process):
        state = process.node.state
        assert state.commit_index >= process.commit_index, "the commit index went back"
        has_committed = state.commit_index > process.commit_index
        process.commit_index = state.commit_index
        if state.role is not NodeRole.LEADER:
            return
        disk_by_replica = self.disk_by_replica
        if has_committed:
            promises.check_commit(state, disk_by_replica)
        promises.check_memberships(state, disk_by_replica)
        key = (process.id, process.replica)
        if state.term not in self.leader_by_term:
            promises.check_election(state, disk_by_replica)
        holder = self.leader_by_term.setdefault(state.term, key)
        assert holder == key, f"two leaders in term {state.term}: {holder} and {key}"
        if state.term == max(self.leader_by_term) and self.history:
            promises.check_is_complete(state, len(self.history), self.history[-1][0])

    def _compact(self, process):
        state = process.node.state
        held = state.snapshot.index if state.snapshot else 0
        applied = len(process.applied)
        if applied - held < CONFIG.snapshot_after_entries:
            return
        data = self._data_at(applied)
        outputs = process.node.compact(applied, data, self.now(process))
        self.perform(process, outputs)
