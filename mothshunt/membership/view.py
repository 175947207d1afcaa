"""Presence of the instances, as each instance knows it."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from mothshunt.configuration.model import Configuration, ConfigurationSource
from mothshunt.core.types import InstanceId, Role
from mothshunt.membership.messages import Row, Rows
from mothshunt.membership.model import EntryPresence


@dataclass(slots=True)
class PresenceView:
    """``EntryDirectory`` filled from the rows that the control instance sends.

    :param source: The configuration in force.
    """

    source: ConfigurationSource
    row_by_instance: dict[InstanceId, Row] = field(default_factory=dict)
    _entries: Sequence[EntryPresence] | None = None

    def apply_rows(self, rows: Rows) -> None:
        """Apply rows from the control instance that this instance is attached to.

        :param rows: Changed rows, or all of them.
        """
        if rows.is_whole:
            self.row_by_instance = {}
        for row in rows.rows:
            self.row_by_instance[row.instance] = row
        self._entries = None

    def on_configuration(self, configuration: Configuration) -> None:
        """Discard the cached entry instances; the recorded ones may have changed.

        :param configuration: The configuration in force.
        """
        self._entries = None

    def entries(self) -> Sequence[EntryPresence]:
        """Return the reachable entry instances; see ``EntryDirectory``."""
        if self._entries is None:
            self._entries = tuple(self._present())
        return self._entries

    def _present(self) -> list[EntryPresence]:
        present = []
        for instance, record in sorted(self.source.current().instance_by_id.items()):
            row = self.row_by_instance.get(instance)
            if row is None or row.state is None or Role.ENTRY not in record.roles:
                continue
            present.append(
                EntryPresence(
                    record=record,
                    incarnation=row.incarnation,
                    state=row.state,
                    load=row.load,
                )
            )
        return present
