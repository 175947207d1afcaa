"""The ledger's part of the replicated state machine."""

from dataclasses import dataclass
from typing import Any

from expression import Result

from mothshunt.core.codes import Failure, MothshuntError
from mothshunt.core.types import LogIndex
from mothshunt.ledger.messages import (
    Claim,
    Done,
    Expire,
    Lapse,
    Record,
    Release,
)
from mothshunt.ledger.model import LedgerKey
from mothshunt.ledger.state import Entry, LedgerState
from mothshunt.util import schema
from mothshunt.util.wire import BAD_MESSAGE


@dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotItem:
    """Hold one key in a snapshot.

    :param key: The key.
    :param entry: What is known of it.
    """

    key: LedgerKey
    entry: Entry


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """Hold all keys, in the order of their claims.

    :param items: The keys.
    """

    items: tuple[SnapshotItem, ...]


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
        items = tuple(
            SnapshotItem(key=key, entry=entry)
            for key, entry in self.state.entry_by_key.items()
        )
        return schema.to_plain(Snapshot(items=items))

    def restore(self, index: LogIndex, plain: Any) -> None:
        """Replace all keys.

        :param index: Position of the last command that the snapshot holds.
        :param plain: What ``snapshot`` returned; ``None`` for no keys.
        """
        state = LedgerState()
        if plain is not None:
            for item in _decoded(plain).items:
                state.insert(item.key, item.entry)
        self.state = state


def _decoded(plain: Any) -> Snapshot:
    match schema.from_plain(Snapshot, plain):
        case Result(tag="ok", ok=snapshot):
            return snapshot
        case Result(error=faults):
            detail = f"ledger snapshot {faults[0].path}: {faults[0].problem}"
            raise MothshuntError(Failure(code=BAD_MESSAGE, detail=detail))
