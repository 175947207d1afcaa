"""State machine of the ledger, fed by the replicated log."""

from typing import Any

from mothshunt.core.types import LogIndex
from mothshunt.ledger.messages import (
    Claim,
    Done,
    Expire,
    Lapse,
    Record,
    Release,
)
from mothshunt.ledger.snapshot import from_rows, to_rows
from mothshunt.ledger.state import LedgerState


class LedgerApplier:
    """State of the ledger, changed by commands from the replicated log."""

    name = "ledger"
    commands: tuple[type[Any], ...] = (Claim, Record, Release, Lapse, Expire)

    def __init__(self) -> None:
        self.state = LedgerState()

    def apply(self, index: LogIndex, command: Any) -> object:
        """Apply one command and return its outcome.

        :param index: Index of the command in the log.
        :param command: The command.
        """
        match command:
            case Claim():
                return self.state.claim(index, command)
            case Record():
                return Done(changed=self.state.record(command))
            case Release():
                return Done(changed=self.state.release(index, command))
            case Lapse():
                return Done(changed=self.state.lapse(command))
            case Expire():
                return Done(changed=self.state.expire(command))
        raise TypeError(f"unknown ledger command: {type(command).__name__}")

    def snapshot(self) -> Any:
        """Return the state of all keys as plain data."""
        return to_rows(self.state)

    def restore(self, index: LogIndex, plain: Any) -> None:
        """Replace the state of all keys by that of a snapshot.

        :param index: Index of the last command that the snapshot includes.
        :param plain: Return value of ``snapshot``; ``None`` for an empty ledger.
        """
        self.state = LedgerState() if plain is None else from_rows(plain)
