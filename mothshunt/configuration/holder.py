"""The configuration in force at this instance."""

from collections.abc import Callable
from dataclasses import dataclass, field

from mothshunt.configuration import const
from mothshunt.configuration.assemble import ConfigurationAssembler
from mothshunt.configuration.model import NO_REVISION, Configuration
from mothshunt.configuration.store import ItemStore
from mothshunt.core.types import Revision

Listener = Callable[[Configuration], None]


@dataclass(slots=True)
class ConfigurationHolder:
    """``ConfigurationSource`` that notifies listeners of each new revision."""

    _current: Configuration = field(default_factory=Configuration)
    _assembler: ConfigurationAssembler = field(default_factory=ConfigurationAssembler)
    _listeners: list[Listener] = field(default_factory=list)
    _newest_revision: Revision = NO_REVISION
    _confirmed_at: float = float("-inf")

    def current(self) -> Configuration:
        """Return the configuration in force; see ``ConfigurationSource``."""
        return self._current

    def on_change(self, listener: Listener) -> None:
        """Add a listener that is called with each new configuration.

        :param listener: Function that is called in the event loop.
        """
        self._listeners.append(listener)

    def record_newest(self, revision: Revision) -> None:
        """Record that a control instance holds a revision.

        :param revision: The revision.
        """
        self._newest_revision = max(self._newest_revision, revision)

    def record_confirmation(self, revision: Revision, confirmed_at: float) -> None:
        """Record that a majority confirmed the revision of a control instance.

        :param revision: Revision of the control instance.
        :param confirmed_at: Time of the confirmation; all changes that were accepted
            before are contained in the revision.
        """
        self.record_newest(revision)
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def is_current(self, now: float) -> bool:
        """Whether all changes are in force here, apart from those of the last moment.

        :param now: The present time, in seconds.
        """
        return (
            self._current.revision >= self._newest_revision
            and now - self._confirmed_at <= const.MAX_CONFIRMATION_AGE_S
        )

    def put_in_force(self, store: ItemStore) -> None:
        """Decode items, make them the configuration in force and call the listeners.

        :param store: Store with the items.
        """
        self._current = self._assembler.assemble(store)
        for listener in self._listeners:
            listener(self._current)
