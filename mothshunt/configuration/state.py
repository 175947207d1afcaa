"""State machine of the configuration, driven by the replicated log."""

from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

import xxhash

from mothshunt.configuration import codes, const
from mothshunt.configuration.messages import (
    Change,
    ChangeOutcome,
    ChangeStatus,
    JoinInstance,
    JoinOutcome,
    LeaveInstance,
)
from mothshunt.configuration.model import ItemKey, Section
from mothshunt.configuration.service import AuditRecord, Item
from mothshunt.configuration.store import ItemStore
from mothshunt.core.types import (
    ChangeId,
    Incarnation,
    LogIndex,
    OperatorId,
    Revision,
    Role,
)
from mothshunt.membership.model import InstanceRecord
from mothshunt.routing import applier as routing_applier
from mothshunt.routing.applier import RoutingApplier
from mothshunt.util import schema

SYSTEM_OPERATOR = OperatorId("system")


@dataclass(frozen=True, kw_only=True, slots=True)
class RememberedChange:
    """Outcome of a processed change, kept to answer the same change id again.

    :param change_id: Id of the change.
    :param outcome: Outcome when the change was first processed.
    :param fingerprint: Hash of the operator, key, base revision and value; detects
        reuse of the id for a different change.
    """

    change_id: ChangeId
    outcome: ChangeOutcome
    fingerprint: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """Snapshot of the whole replicated configuration.

    :param revision: Revision of the last change.
    :param items: All items, removed ones included.
    :param changes: Outcomes of processed changes, oldest first.
    :param audit: Accepted changes, oldest first.
    """

    revision: Revision
    items: tuple[Item, ...]
    changes: tuple[RememberedChange, ...]
    audit: tuple[AuditRecord, ...]


@dataclass(slots=True)
class ReplicatedConfiguration:
    """``Applier`` of the replicated log for commands that change the configuration."""

    name: str = "configuration"
    commands: tuple[type[Any], ...] = (
        Change,
        JoinInstance,
        LeaveInstance,
        *routing_applier.COMMANDS,
    )
    store: ItemStore = field(default_factory=ItemStore)
    change_by_id: dict[ChangeId, RememberedChange] = field(default_factory=dict)
    audit: list[AuditRecord] = field(default_factory=list)
    routing: RoutingApplier = field(default_factory=RoutingApplier)

    def apply(self, index: LogIndex, command: Any) -> object:
        """Apply one command; see ``Applier``."""
        if isinstance(command, routing_applier.COMMANDS):
            put = partial(self._put, index, _operator(command))
            return self.routing.apply(self.store, index, command, put)
        if isinstance(command, JoinInstance):
            return self._apply_join(index, command)
        if isinstance(command, LeaveInstance):
            return self._apply_leave(index, command)
        assert isinstance(command, Change)
        return self._apply_change(index, command)

    def snapshot(self) -> Any:
        """Return the state as plain data; see ``Applier``."""
        return schema.to_plain(
            Snapshot(
                revision=self.store.revision,
                items=tuple(self.store.item_by_key.values()),
                changes=tuple(self.change_by_id.values()),
                audit=tuple(self.audit),
            )
        )

    def restore(self, index: LogIndex, plain: Any) -> None:
        """Replace the state; see ``Applier``."""
        self.store = ItemStore()
        self.change_by_id = {}
        self.audit = []
        if plain is None:
            return
        snapshot = schema.from_plain(Snapshot, plain).default_with(
            _raise_stored_data_invalid
        )
        self.store.replace(snapshot.revision, snapshot.items)
        self.change_by_id = {c.change_id: c for c in snapshot.changes}
        self.audit = list(snapshot.audit)

    def newest_audit(self, key: ItemKey | None, limit: int) -> tuple[AuditRecord, ...]:
        """Return accepted changes, newest first.

        :param key: Item whose changes are returned; ``None`` for all items.
        :param limit: Maximum number of records.
        """
        records = [r for r in reversed(self.audit) if key is None or r.key == key]
        return tuple(records[:limit])

    def _apply_change(self, index: LogIndex, change: Change) -> ChangeOutcome:
        fingerprint = _fingerprint(change)
        remembered = self.change_by_id.get(change.change_id)
        if remembered is not None:
            return _repeated_outcome(remembered, fingerprint)
        held = self.store.revision_of(change.key)
        if not self._has_current_base(change, held):
            outcome = self._conflict_outcome(change)
        else:
            self._accept(index, change)
            outcome = ChangeOutcome(
                status=ChangeStatus.ACCEPTED,
                revision=Revision(index),
                change_id=change.change_id,
                operator=change.operator,
            )
        self._remember_change(change.change_id, outcome, fingerprint)
        return outcome

    def _has_current_base(self, change: Change, held: Revision) -> bool:
        item = self.store.item_by_key.get(change.key)
        is_removed = item is not None and item.value is None
        return change.base_revision == held or (is_removed and not change.base_revision)

    def _conflict_outcome(self, change: Change) -> ChangeOutcome:
        held = self.store.revision_of(change.key)
        winner = next((r for r in reversed(self.audit) if r.revision == held), None)
        if winner is None:
            detail = f"the item is at revision {held}"
        else:
            detail = f"{winner.operator} changed it by {winner.change_id} at {held}"
        return ChangeOutcome(
            status=ChangeStatus.CONFLICT,
            revision=held,
            change_id=winner.change_id if winner else change.change_id,
            operator=winner.operator if winner else SYSTEM_OPERATOR,
            detail=detail,
        )

    def _put(
        self,
        index: LogIndex,
        operator: OperatorId,
        key: ItemKey,
        value: bytes,
        summary: str,
    ) -> None:
        change = _system_change(index, key, value, summary)
        self._accept(index, replace(change, operator=operator))

    def _accept(self, index: LogIndex, change: Change) -> None:
        revision = Revision(index)
        self.store.put(Item(key=change.key, revision=revision, value=change.value))
        record = AuditRecord(
            revision=revision,
            change_id=change.change_id,
            operator=change.operator,
            key=change.key,
            summary=change.summary,
            made_at_unix_ms=change.made_at_unix_ms,
            value=change.value,
        )
        self.audit.append(record)
        del self.audit[: -const.MAX_AUDIT_RECORDS]

    def _remember_change(
        self, change_id: ChangeId, outcome: ChangeOutcome, fingerprint: int
    ) -> None:
        self.change_by_id[change_id] = RememberedChange(
            change_id=change_id, outcome=outcome, fingerprint=fingerprint
        )
        while len(self.change_by_id) > const.MAX_REMEMBERED_CHANGES:
            del self.change_by_id[next(iter(self.change_by_id))]

    def _apply_join(self, index: LogIndex, command: JoinInstance) -> JoinOutcome:
        key = ItemKey(section=Section.INSTANCE, name=command.record.id)
        records = self._instances()
        held = next((r for r in records if r.id == command.record.id), None)
        seat = _free_seat(records, command.record) if held is None else held.seat
        record = replace(command.record, seat=seat)
        others = [r for r in records if r.id != record.id]
        controls = sum(Role.CONTROL in r.roles for r in [*others, record])
        if Role.CONTROL in record.roles and controls > const.MAX_CONTROL_INSTANCES:
            return JoinOutcome(
                status=ChangeStatus.REFUSED,
                incarnation=Incarnation(index),
                seat=seat,
                detail=codes.TOO_MANY_CONTROL_INSTANCES.summary,
            )
        if held != record:
            value = schema.to_json(record)
            self._accept(index, _system_change(index, key, value, "instance joined"))
        return JoinOutcome(
            status=ChangeStatus.ACCEPTED, incarnation=Incarnation(index), seat=seat
        )

    def _apply_leave(self, index: LogIndex, command: LeaveInstance) -> ChangeOutcome:
        key = ItemKey(section=Section.INSTANCE, name=command.instance)
        item = self.store.item_by_key.get(key)
        if item is None or item.value is None:
            return _system_outcome(ChangeStatus.ACCEPTED, self.store.revision)
        self._accept(index, _system_change(index, key, None, "instance left"))
        return _system_outcome(ChangeStatus.ACCEPTED, Revision(index))

    def _instances(self) -> list[InstanceRecord]:
        values = [item.value for item in self.store.present_items(Section.INSTANCE)]
        return [
            schema.from_json(InstanceRecord, value).default_with(
                _raise_stored_data_invalid
            )
            for value in values
            if value is not None
        ]


def _operator(command: Any) -> OperatorId:
    return getattr(command, "operator", SYSTEM_OPERATOR)


def _free_seat(records: list[InstanceRecord], joining: InstanceRecord) -> int:
    taken = {record.seat for record in records if record.region == joining.region}
    return next(seat for seat in range(len(taken) + 1) if seat not in taken)


def _system_change(
    index: LogIndex, key: ItemKey, value: bytes | None, summary: str
) -> Change:
    return Change(
        change_id=ChangeId(f"system-{index}"),
        operator=SYSTEM_OPERATOR,
        key=key,
        base_revision=Revision(0),
        value=value,
        summary=summary,
        made_at_unix_ms=0,
    )


def _system_outcome(status: ChangeStatus, revision: Revision) -> ChangeOutcome:
    return ChangeOutcome(
        status=status,
        revision=revision,
        change_id=ChangeId(f"system-{revision}"),
        operator=SYSTEM_OPERATOR,
    )


def _repeated_outcome(remembered: RememberedChange, fingerprint: int) -> ChangeOutcome:
    if remembered.fingerprint == fingerprint:
        return replace(remembered.outcome, repeated=True)
    return replace(
        remembered.outcome,
        status=ChangeStatus.REFUSED,
        detail=codes.CHANGE_ID_REUSED.summary,
    )


def _fingerprint(change: Change) -> int:
    state = xxhash.xxh64()
    name = f"{change.operator}/{change.key.section.value}/{change.key.name}"
    state.update(f"{name}/{change.base_revision}/".encode())
    state.update(b"-" if change.value is None else change.value)
    return state.intdigest()


def _raise_stored_data_invalid(faults: tuple[schema.Fault, ...]) -> Any:
    raise ValueError(f"stored configuration is invalid: {faults[0]}")
