"""Presence of all instances, as one control instance knows it."""

from dataclasses import dataclass, field, replace

from mothshunt.core.types import InstanceId
from mothshunt.membership import const
from mothshunt.membership.messages import Report, Row


@dataclass(slots=True)
class AttachedInstance:
    """Instance that attached to this control instance.

    :param report: Its last report.
    :param received_at: Monotonic time at which that report was received, in seconds.
    :param detached_at: Monotonic time at which its stream closed, or ``None``.
    """

    report: Report
    received_at: float
    detached_at: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangedRow:
    """Row that changed since it was last published.

    :param row: The row.
    :param is_load_only: Whether the load changed and the state did not.
    """

    row: Row
    is_load_only: bool


@dataclass(slots=True)
class PresenceTable:
    """Newest rows of all instances, and the rows last published.

    :param own_id: Name of this control instance.
    """

    own_id: InstanceId
    attached_by_id: dict[InstanceId, AttachedInstance] = field(default_factory=dict)
    row_by_instance: dict[InstanceId, Row] = field(default_factory=dict)
    hub_by_instance: dict[InstanceId, InstanceId] = field(default_factory=dict)
    hub_disconnected_at_by_id: dict[InstanceId, float] = field(default_factory=dict)
    published_by_instance: dict[InstanceId, Row] = field(default_factory=dict)
    _unpublished: set[InstanceId] = field(default_factory=set)

    def record_report(self, report: Report, now: float) -> None:
        """Record the report of an attached instance.

        :param report: The report.
        :param now: Monotonic time, in seconds.
        """
        instance = report.instance
        self.attached_by_id[instance] = AttachedInstance(report=report, received_at=now)
        held = self.row_by_instance.get(instance)
        row = Row(
            instance=instance,
            incarnation=report.incarnation,
            attach=report.attach,
            change=0,
            state=report.state,
            load=report.load,
        )
        if held is not None and _attachment_key(held) == _attachment_key(row):
            row = replace(row, change=held.change)
            if row != held:
                row = replace(row, change=held.change + 1)
        self.merge_row(row, self.own_id)

    def is_new_attachment(self, report: Report) -> bool:
        """Whether a report is the first of an attachment.

        :param report: The report.
        """
        attached = self.attached_by_id.get(report.instance)
        if attached is None or attached.detached_at is not None:
            return True
        held = attached.report
        return (held.incarnation, held.attach) != (report.incarnation, report.attach)

    def merge_row(self, row: Row, hub: InstanceId) -> None:
        """Record a row unless the held one is newer.

        :param row: The row.
        :param hub: Control instance that the row's instance is attached to.
        """
        held = self.row_by_instance.get(row.instance)
        if held is not None and _row_version(held) > _row_version(row):
            return
        self.row_by_instance[row.instance] = row
        self.hub_by_instance[row.instance] = hub
        self._unpublished.add(row.instance)

    def detach(self, instance: InstanceId, now: float) -> None:
        """Record that the stream of an attached instance closed.

        :param instance: Name of the instance.
        :param now: Monotonic time, in seconds.
        """
        attached = self.attached_by_id.get(instance)
        if attached is not None and attached.detached_at is None:
            attached.detached_at = now

    def record_hub_disconnect(self, hub: InstanceId, now: float) -> None:
        """Record that the stream to another control instance closed.

        :param hub: Name of the control instance.
        :param now: Monotonic time, in seconds.
        """
        self.hub_disconnected_at_by_id.setdefault(hub, now)

    def record_hub_reconnect(self, hub: InstanceId) -> None:
        """Record that another control instance is connected again.

        :param hub: Name of the control instance.
        """
        if self.hub_disconnected_at_by_id.pop(hub, None) is not None:
            self._unpublished.update(self._instances_of(hub))

    def own_rows(self) -> tuple[Row, ...]:
        """Return the rows of the instances that are attached here."""
        return tuple(
            row
            for instance, row in self.row_by_instance.items()
            if self.hub_by_instance[instance] == self.own_id
        )

    def publish(self, now: float) -> tuple[ChangedRow, ...]:
        """Return the rows that changed since the last call, and mark them published.

        :param now: Monotonic time, in seconds.
        """
        self._expire_members(now)
        changed = []
        for instance in sorted(self._unpublished):
            row = self._visible_row(instance, now)
            published = self.published_by_instance.get(instance)
            if published == row:
                continue
            self.published_by_instance[instance] = row
            is_load_only = published is not None and published.state is row.state
            changed.append(ChangedRow(row=row, is_load_only=is_load_only))
        self._unpublished.clear()
        return tuple(changed)

    def _instances_of(self, hub: InstanceId) -> list[InstanceId]:
        return [i for i, held in self.hub_by_instance.items() if held == hub]

    def _expire_members(self, now: float) -> None:
        for instance, attached in list(self.attached_by_id.items()):
            detached_at = attached.detached_at
            if detached_at is None or now - detached_at < const.REATTACH_GRACE_S:
                continue
            del self.attached_by_id[instance]
            row = self.row_by_instance[instance]
            if self.hub_by_instance[instance] == self.own_id:
                lost = replace(row, state=None, load=0, change=row.change + 1)
                self.row_by_instance[instance] = lost
                self._unpublished.add(instance)
        for hub, lost_at in self.hub_disconnected_at_by_id.items():
            if now - lost_at >= const.HUB_DISCONNECT_GRACE_S:
                self._unpublished.update(self._instances_of(hub))

    def _visible_row(self, instance: InstanceId, now: float) -> Row:
        row = self.row_by_instance[instance]
        lost_at = self.hub_disconnected_at_by_id.get(self.hub_by_instance[row.instance])
        if lost_at is None or now - lost_at < const.HUB_DISCONNECT_GRACE_S:
            return row
        return replace(row, state=None, load=0)


def load_bucket(load: int) -> int:
    """Return a load rounded up to a power of two, so that it changes rarely.

    :param load: Requests in flight.
    """
    return 0 if load <= 0 else 1 << (load - 1).bit_length()


def _attachment_key(row: Row) -> tuple[int, int]:
    return (row.incarnation, row.attach)


def _row_version(row: Row) -> tuple[int, int, int]:
    return (row.incarnation, row.attach, row.change)
