"""The ledger's part of the replicated state machine."""

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
    """Apply the commands of the ledger."""

    name = "ledger"
    commands: tuple[type[Any], ...] = (Claim, Record, Release, Lapse, Expire)

    def __init__(self) -> None:
        self.state = LedgerState()

    def apply(self, index: LogIndex, command: Any) -> object:
        """Apply one command and return its outcome.

        :param index: Position of the command in the log.
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
        raise TypeError(f"not a command of the ledger: {type(command).__name__}")

    def snapshot(self) -> Any:
        """Return all keys as plain data."""
        return to_rows(self.state)

    def restore(self, index: LogIndex, plain: Any) -> None:
        """Replace all keys.

        :param index: Position of the last command that the snapshot holds.
        :param plain: What ``snapshot`` returned; ``None`` for no keys.
        """
        self.state = LedgerState() if plain is None else from_rows(plain)
