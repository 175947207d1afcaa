"""Announcements that an entry instance receives from targets."""

from dataclasses import dataclass, field, replace

from expression import Error, Ok, Result

from mothshunt.core.codes import Failure
from mothshunt.core.types import InstanceId, TargetId, TargetState
from mothshunt.discovery import codes, const
from mothshunt.discovery.messages import (
    AnnouncedLoad,
    Announcement,
    LeaveNotice,
    LoadRow,
    RowState,
    TargetRow,
)
from mothshunt.discovery.state import TargetTable


@dataclass(slots=True)
class OwnedTarget:
    """Target that announced itself to this instance.

    The instance owns the target's row: it sends the row to the others.

    :param announcement: Its last announcement.
    :param renewed_at: Monotonic time of that announcement, in seconds.
    :param load_sent_at: Monotonic time at which its load was last sent, in seconds.
    :param sent_load: Load that was last sent.
    """

    announcement: Announcement
    renewed_at: float
    load_sent_at: float = 0.0
    sent_load: AnnouncedLoad | None = None


@dataclass(slots=True)
class Announcements:
    """Announcements to one entry instance, and the rows to distribute for them.

    :param own_id: Name of this instance.
    :param table: Targets known at this instance.
    """

    own_id: InstanceId
    table: TargetTable
    owned_by_target: dict[TargetId, OwnedTarget] = field(default_factory=dict)

    def announce(
        self, announcement: Announcement, now: float
    ) -> Result[TargetRow, Failure]:
        """Apply an announcement.

        :param announcement: The announcement.
        :param now: Monotonic time, in seconds.
        :return: The row to distribute, or a failure with code 2603.
        """
        known = self.table.known_by_target.get(announcement.target)
        if known is not None and _is_stale(announcement, known.row):
            detail = f"{announcement.target} incarnation {announcement.incarnation}"
            return Error(Failure(code=codes.STALE_INCARNATION, detail=detail))
        owned = self.owned_by_target.get(announcement.target)
        if owned is None:
            owned = OwnedTarget(announcement, now)
            self.owned_by_target[announcement.target] = owned
        owned.announcement = announcement
        owned.renewed_at = now
        row = self._row(announcement)
        self.table.apply_row(row, now)
        return Ok(row)

    def leave(self, notice: LeaveNotice, now: float) -> TargetRow | None:
        """Apply a notice that a target has left.

        :param notice: The notice.
        :param now: Monotonic time, in seconds.
        :return: The row to distribute, or ``None`` if the target is unknown or a newer
            incarnation of it is known.
        """
        known = self.table.known_by_target.get(notice.target)
        if known is None or known.row.announcement.incarnation > notice.incarnation:
            return None
        self.owned_by_target.pop(notice.target, None)
        announcement = replace(known.row.announcement, incarnation=notice.incarnation)
        row = TargetRow(
            owner=self.own_id, state=RowState.LEFT, announcement=announcement
        )
        self.table.apply_row(row, now)
        return row

    def expire_leases(self, now: float) -> tuple[TargetRow, ...]:
        """Remove the owned targets that have not renewed their announcements in time.

        :param now: Monotonic time, in seconds.
        :return: The rows to distribute.
        """
        rows = []
        for target, owned in list(self.owned_by_target.items()):
            if now - owned.renewed_at <= const.LEASE_S:
                continue
            del self.owned_by_target[target]
            row = TargetRow(
                owner=self.own_id,
                state=RowState.LAPSED,
                announcement=replace(owned.announcement, load=None),
            )
            self.table.apply_row(row, now)
            rows.append(row)
        return tuple(rows)

    def rows(self) -> tuple[TargetRow, ...]:
        """Return the rows of all targets that this instance owns."""
        return tuple(
            self._row(owned.announcement) for owned in self.owned_by_target.values()
        )

    def changed_loads(self, now: float) -> tuple[LoadRow, ...]:
        """Return the changed loads of targets whose last sent load is old enough.

        :param now: Monotonic time, in seconds.
        """
        loads = []
        for target, owned in self.owned_by_target.items():
            load = owned.announcement.load
            if load is None or now - owned.load_sent_at < const.LOAD_INTERVAL_S:
                continue
            if owned.sent_load is not None and _is_same_load(load, owned.sent_load):
                continue
            owned.load_sent_at = now
            owned.sent_load = load
            elapsed_ms = int((now - owned.renewed_at) * 1000)
            loads.append(
                LoadRow(
                    target=target,
                    incarnation=owned.announcement.incarnation,
                    load=replace(load, age_ms=load.age_ms + elapsed_ms),
                )
            )
        return tuple(loads)

    def _row(self, announcement: Announcement) -> TargetRow:
        is_serving = announcement.state is TargetState.SERVING
        return TargetRow(
            owner=self.own_id,
            state=RowState.SERVING if is_serving else RowState.LEAVING,
            announcement=replace(announcement, load=None),
        )


def _is_stale(announcement: Announcement, stored: TargetRow) -> bool:
    if announcement.incarnation != stored.announcement.incarnation:
        return announcement.incarnation < stored.announcement.incarnation
    return stored.state is RowState.LEFT


def _is_same_load(load: AnnouncedLoad, other: AnnouncedLoad) -> bool:
    return (load.in_flight, load.connections) == (other.in_flight, other.connections)
