"""State machine that combines the appliers of all slices."""

from collections.abc import Iterable
from typing import Any

import msgpack
from expression import Result

from mothshunt.core.state_machine import Applier
from mothshunt.core.types import LogIndex
from mothshunt.util import wire


class CompositeStateMachine:
    """``StateMachine`` that passes each command to the applier of its slice.

    :param appliers: One for each slice with durable state.
    """

    def __init__(self, appliers: Iterable[Applier]) -> None:
        self._applier_by_name = {applier.name: applier for applier in appliers}
        self._applier_by_command: dict[type[Any], Applier] = {
            command: applier
            for applier in self._applier_by_name.values()
            for command in applier.commands
        }

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply one committed command; see ``StateMachine``.

        :raises ValueError: When the command can't be decoded or has no applier. It
            must not be skipped, as the states of the replicas would then diverge.
        """
        match wire.unpack(command):
            case Result(tag="ok", ok=decoded):
                applier = self._applier_by_command.get(type(decoded))
                if applier is None:
                    raise ValueError(f"no applier for command {type(decoded).__name__}")
                return wire.pack(applier.apply(index, decoded))
            case Result(error=failure):
                raise ValueError(
                    f"cannot decode command at log index {index}: {failure.detail}"
                )

    def snapshot(self) -> bytes:
        """Return the state of all slices; see ``StateMachine``."""
        return wire.pack_plain(
            {
                name: applier.snapshot()
                for name, applier in self._applier_by_name.items()
            }
        )

    def restore(self, index: LogIndex, snapshot: bytes) -> None:
        """Replace the state of all slices; see ``StateMachine``."""
        plain_by_name = msgpack.unpackb(snapshot, raw=False) if snapshot else {}
        for name, applier in self._applier_by_name.items():
            applier.restore(index, plain_by_name.get(name))
