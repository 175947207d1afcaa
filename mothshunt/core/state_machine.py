"""The part of the state that the replicated log carries."""

from typing import Any, Protocol

from mothshunt.core.types import LogIndex


class StateMachine(Protocol):
    """Turn the entries of the replicated log into state, alike on every replica."""

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply one committed command.

        :param index: Position of the command in the log.
        :param command: Encoded command.
        :return: Encoded outcome for whoever proposed the command.
        """
        ...

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        ...

    def restore(self, index: LogIndex, snapshot: bytes) -> None:
        """Replace the whole state.

        :param index: Position of the last command that the snapshot holds.
        :param snapshot: Encoded state.
        """
        ...


class Applier(Protocol):
    """Apply the commands of one slice; a part of the state machine.

    Results depend on nothing but the state and the command: no clock, no chance.
    """

    #: Name of the slice, the key of its part of a snapshot.
    name: str
    #: Registered message classes that are commands of the slice.
    commands: tuple[type[Any], ...]

    def apply(self, index: LogIndex, command: Any) -> object:
        """Apply one command and return its outcome, a registered message.

        :param index: Position of the command in the log.
        :param command: Instance of one of the command classes.
        """
        ...

    def snapshot(self) -> Any:
        """Return the state of the slice as plain data for msgpack."""
        ...

    def restore(self, index: LogIndex, plain: Any) -> None:
        """Replace the state of the slice.

        :param index: Position of the last command that the snapshot holds.
        :param plain: What ``snapshot`` returned; ``None`` stands for the empty state.
        """
        ...
