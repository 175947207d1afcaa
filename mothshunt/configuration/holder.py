"""The configuration in force at this instance."""

from collections.abc import Callable
from dataclasses import dataclass, field

from mothshunt.configuration.assemble import ConfigurationAssembler
from mothshunt.configuration.model import Configuration
from mothshunt.configuration.store import ItemStore

Listener = Callable[[Configuration], None]


@dataclass(slots=True)
class ConfigurationHolder:
    """Implement ``ConfigurationSource`` and tell listeners of each new revision."""

    _current: Configuration = field(default_factory=Configuration)
    _assembler: ConfigurationAssembler = field(default_factory=ConfigurationAssembler)
    _listeners: list[Listener] = field(default_factory=list)

    def current(self) -> Configuration:
        """Return the configuration in force; see ``ConfigurationSource``."""
        return self._current

    def on_change(self, listener: Listener) -> None:
        """Call a listener with each new configuration.

        :param listener: Called in the event loop.
        """
        self._listeners.append(listener)

    def put_in_force(self, store: ItemStore) -> None:
        """Decode the items and use them from now on.

        :param store: The items.
        """
        self._current = self._assembler.assemble(store)
        for listener in self._listeners:
            listener(self._current)
