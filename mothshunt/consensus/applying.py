"""Committed entries turned into state, and snapshots of that state."""

from collections.abc import Callable, Sequence

from mothshunt.consensus import const
from mothshunt.consensus.config import ConsensusConfig
from mothshunt.consensus.types import NO_INDEX, Entry, EntryKind, Snapshot
from mothshunt.consensus.waiting import IndexWaiters, ProposalWaiters
from mothshunt.core.state_machine import StateMachine
from mothshunt.core.types import LogIndex
from mothshunt.helpers.log import get_logger
from mothshunt.metrics.registry import Metrics

_LOGGER = get_logger("consensus")


class CommandApplier:
    """Apply committed entries in order, and answer who waits for them.

    :param state_machine: State that the log carries.
    :param config: When a snapshot is due.
    :param metrics: Counters of the process.
    """

    def __init__(
        self, *, state_machine: StateMachine, config: ConsensusConfig, metrics: Metrics
    ) -> None:
        self.applied_index = NO_INDEX
        self.proposals = ProposalWaiters()
        self._state_machine = state_machine
        self._config = config
        self._metrics = metrics
        self._waiters = IndexWaiters()
        self._listeners: list[Callable[[LogIndex], None]] = []
        self._snapshot_index = NO_INDEX
        self._snapshot_bytes = 0
        self._bytes_since = 0

    def on_applied(self, listener: Callable[[LogIndex], None]) -> None:
        """Call a listener after commands were applied.

        :param listener: Called with the last applied index.
        """
        self._listeners.append(listener)

    async def async_wait(self, index: LogIndex) -> None:
        """Wait until an index is applied.

        :param index: The index.
        """
        if self.applied_index < index:
            await self._waiters.wait(index)

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state by that of a snapshot.

        :param snapshot: The snapshot; the founding one holds no state.
        """
        if snapshot.index > NO_INDEX:
            self._state_machine.restore(snapshot.index, snapshot.data)
        self.applied_index = snapshot.index
        self._note_snapshot(len(snapshot.data))

    def apply(self, items: Sequence[Entry | Snapshot]) -> None:
        """Apply committed entries and install snapshots.

        :param items: What a node gave out, in order.
        """
        for item in items:
            if isinstance(item, Snapshot):
                self._install(item)
            else:
                self._apply_entry(item)
        self._waiters.reached(self.applied_index)

    def tell_listeners(self) -> None:
        """Call the listeners with the last applied index."""
        for listener in self._listeners:
            listener(self.applied_index)

    def _apply_entry(self, entry: Entry) -> None:
        outcome = b""
        if entry.kind is EntryKind.COMMAND:
            outcome = self._state_machine.apply(entry.index, entry.data)
        self.applied_index = entry.index
        self._bytes_since += len(entry.data) + const.ENTRY_OVERHEAD_BYTES
        self.proposals.applied(entry.index, entry.term, outcome)

    def _install(self, snapshot: Snapshot) -> None:
        self.restore(snapshot)
        detail = "a snapshot took the place of its entry"
        self.proposals.skipped(snapshot.index, detail)
        self._metrics.count("mothshunt_consensus_snapshots_installed_total")
        _LOGGER.info("installed a snapshot", index=snapshot.index)

    def is_snapshot_due(self) -> bool:
        """Tell whether enough was applied since the last snapshot.

        A large state waits for as many bytes of entries as half of its own, so that
        snapshots don't make up most of what is written.
        """
        max_bytes = max(self._config.snapshot_after_bytes, self._snapshot_bytes)
        if self._bytes_since >= max_bytes:
            return True
        count = self.applied_index - self._snapshot_index
        if count < self._config.snapshot_after_entries:
            return False
        is_large = self._bytes_since * 2 < self._snapshot_bytes
        return not is_large or count >= self._config.snapshot_after_entries_at_most

    def take_snapshot(self) -> bytes:
        """Return the encoded state."""
        data = self._state_machine.snapshot()
        self._note_snapshot(len(data))
        self._metrics.count("mothshunt_consensus_snapshots_taken_total")
        return data

    def _note_snapshot(self, size: int) -> None:
        self._snapshot_index = self.applied_index
        self._snapshot_bytes = size
        self._bytes_since = 0
