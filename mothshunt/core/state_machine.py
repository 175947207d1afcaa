"""Interfaces of the state that is replicated through the log."""

from typing import Any, Protocol

from mothshunt.core.types import LogIndex


class StateMachine(Protocol):
    """State built from the commands of the replicated log.

    The same commands give the same state on every replica.
    """

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply one committed command.

        :param index: Log index of the command.
        :param command: Encoded command.
        :return: Encoded outcome, returned to the proposer of the command.
        """
        ...

    def snapshot(self) -> bytes:
        """Return the complete state, encoded."""
        ...

    def restore(self, index: LogIndex, snapshot: bytes) -> None:
        """Replace the complete state.

        :param index: Log index of the last command that the snapshot includes.
        :param snapshot: Encoded state.
        """
        ...


class Applier(Protocol):
    """Part of the state machine that holds the state of one slice.

    Applying a command is deterministic: the result depends only on the state and the
    command, not on a clock or on random numbers.
    """

    #: Name of the slice, also the key of its state in a snapshot.
    name: str
    #: Message classes of the commands of the slice.
    commands: tuple[type[Any], ...]

    def apply(self, index: LogIndex, command: Any) -> object:
        """Apply one command and return its outcome, a registered message.

        :param index: Log index of the command.
        :param command: Instance of one of the command classes.
        """
        ...

    def snapshot(self) -> Any:
        """Return the state of the slice as plain data that msgpack can encode."""
        ...

    def restore(self, index: LogIndex, plain: Any) -> None:
        """Replace the state of the slice.

        :param index: Log index of the last command that the snapshot includes.
        :param plain: Return value of ``snapshot``; ``None`` for the empty state.
        """
        ...
