"""The configuration in force at this instance."""

from collections.abc import Callable
from dataclasses import dataclass, field

from mothshunt.configuration.assemble import ConfigurationAssembler
from mothshunt.configuration.model import Configuration
from mothshunt.configuration.store import ItemStore

Listener = Callable[[Configuration], None]


@dataclass(slots=True)
class ConfigurationHolder:
    """``ConfigurationSource`` that notifies listeners of each new revision."""

    _current: Configuration = field(default_factory=Configuration)
    _assembler: ConfigurationAssembler = field(default_factory=ConfigurationAssembler)
    _listeners: list[Listener] = field(default_factory=list)

    def current(self) -> Configuration:
        """Return the configuration in force; see ``ConfigurationSource``."""
        return self._current

    def on_change(self, listener: Listener) -> None:
        """Add a listener that is called with each new configuration.

        :param listener: Function that is called in the event loop.
        """
        self._listeners.append(listener)

    def put_in_force(self, store: ItemStore) -> None:
        """Decode items, make them the configuration in force and call the listeners.

        :param store: Store with the items.
        """
        self._current = self._assembler.assemble(store)
        for listener in self._listeners:
            listener(self._current)
