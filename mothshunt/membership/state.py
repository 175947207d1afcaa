"""Which instances are reachable, as one control instance knows it."""

from dataclasses import dataclass, field, replace

from mothshunt.core.types import InstanceId
from mothshunt.membership import const
from mothshunt.membership.messages import Report, Row


@dataclass(slots=True)
class Attached:
    """Hold what is known of an instance that attached to this control instance.

    :param report: Its last report.
    :param heard_at: Monotonic time of that report, in seconds.
    :param detached_at: Monotonic time at which its stream closed, or ``None``.
    """

    report: Report
    heard_at: float
    detached_at: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class PublishedRow:
    """Hold a row that changed.

    :param row: The row.
    :param is_load_only: Whether the state of the instance is as it was.
    """

    row: Row
    is_load_only: bool


@dataclass(slots=True)
class PresenceTable:
    """Order the rows of all instances and tell which changed.

    :param own_id: Name of this control instance.
    """

    own_id: InstanceId
    attached_by_id: dict[InstanceId, Attached] = field(default_factory=dict)
    row_by_instance: dict[InstanceId, Row] = field(default_factory=dict)
    hub_by_instance: dict[InstanceId, InstanceId] = field(default_factory=dict)
    hub_lost_at_by_id: dict[InstanceId, float] = field(default_factory=dict)
    published_by_instance: dict[InstanceId, Row] = field(default_factory=dict)
    _unpublished: set[InstanceId] = field(default_factory=set)

    def report(self, report: Report, now: float) -> None:
        """Take the report of an attached instance.

        :param report: The report.
        :param now: Monotonic time, in seconds.
        """
        instance = report.instance
        self.attached_by_id[instance] = Attached(report=report, heard_at=now)
        held = self.row_by_instance.get(instance)
        row = Row(
            instance=instance,
            incarnation=report.incarnation,
            attach=report.attach,
            change=0,
            state=report.state,
            load=report.load,
        )
        if held is not None and _attachment(held) == _attachment(row):
            row = replace(row, change=held.change)
            if row != held:
                row = replace(row, change=held.change + 1)
        self.take(row, self.own_id)

    def is_new_attachment(self, report: Report) -> bool:
        """Tell whether a report is the first of an attachment.

        :param report: The report.
        """
        attached = self.attached_by_id.get(report.instance)
        if attached is None or attached.detached_at is not None:
            return True
        held = attached.report
        return (held.incarnation, held.attach) != (report.incarnation, report.attach)

    def take(self, row: Row, hub: InstanceId) -> None:
        """Take a row unless what is held is newer.

        :param row: The row.
        :param hub: Control instance that the row's instance is attached to.
        """
        held = self.row_by_instance.get(row.instance)
        if held is not None and _order(held) > _order(row):
            return
        self.row_by_instance[row.instance] = row
        self.hub_by_instance[row.instance] = hub
        self._unpublished.add(row.instance)

    def detach(self, instance: InstanceId, now: float) -> None:
        """Note that the stream of an attached instance closed.

        :param instance: Name of the instance.
        :param now: Monotonic time, in seconds.
        """
        attached = self.attached_by_id.get(instance)
        if attached is not None and attached.detached_at is None:
            attached.detached_at = now

    def hub_lost(self, hub: InstanceId, now: float) -> None:
        """Note that no stream leads to another control instance.

        :param hub: Name of the control instance.
        :param now: Monotonic time, in seconds.
        """
        self.hub_lost_at_by_id.setdefault(hub, now)

    def hub_back(self, hub: InstanceId) -> None:
        """Note that a stream leads to another control instance again.

        :param hub: Name of the control instance.
        """
        if self.hub_lost_at_by_id.pop(hub, None) is not None:
            self._unpublished.update(self._instances_of(hub))

    def own_rows(self) -> tuple[Row, ...]:
        """Return the rows of the instances that are attached here."""
        return tuple(
            row
            for instance, row in self.row_by_instance.items()
            if self.hub_by_instance[instance] == self.own_id
        )

    def publish(self, now: float) -> tuple[PublishedRow, ...]:
        """Return the rows that changed since the last call.

        :param now: Monotonic time, in seconds.
        """
        self._expire(now)
        changed = []
        for instance in sorted(self._unpublished):
            row = self._effective(instance, now)
            published = self.published_by_instance.get(instance)
            if published == row:
                continue
            self.published_by_instance[instance] = row
            is_load_only = published is not None and published.state is row.state
            changed.append(PublishedRow(row=row, is_load_only=is_load_only))
        self._unpublished.clear()
        return tuple(changed)

    def _instances_of(self, hub: InstanceId) -> list[InstanceId]:
        return [i for i, held in self.hub_by_instance.items() if held == hub]

    def _expire(self, now: float) -> None:
        for instance, attached in list(self.attached_by_id.items()):
            detached_at = attached.detached_at
            if detached_at is None or now - detached_at < const.ATTACH_GRACE_S:
                continue
            del self.attached_by_id[instance]
            row = self.row_by_instance[instance]
            if self.hub_by_instance[instance] == self.own_id:
                lost = replace(row, state=None, load=0, change=row.change + 1)
                self.row_by_instance[instance] = lost
                self._unpublished.add(instance)
        for hub, lost_at in self.hub_lost_at_by_id.items():
            if now - lost_at >= const.HUB_LOST_AFTER_S:
                self._unpublished.update(self._instances_of(hub))

    def _effective(self, instance: InstanceId, now: float) -> Row:
        row = self.row_by_instance[instance]
        lost_at = self.hub_lost_at_by_id.get(self.hub_by_instance[row.instance])
        if lost_at is None or now - lost_at < const.HUB_LOST_AFTER_S:
            return row
        return replace(row, state=None, load=0)


def load_bucket(load: int) -> int:
    """Round a load up to a power of two, so that it changes rarely.

    :param load: Requests in flight.
    """
    return 0 if load <= 0 else 1 << (load - 1).bit_length()


def _attachment(row: Row) -> tuple[int, int]:
    return (row.incarnation, row.attach)


def _order(row: Row) -> tuple[int, int, int]:
    return (row.incarnation, row.attach, row.change)
