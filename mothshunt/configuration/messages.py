"""Commands and outcomes of configuration changes."""

from dataclasses import dataclass
from enum import Enum

from mothshunt.configuration.model import ItemKey
from mothshunt.core.types import (
    ChangeId,
    Incarnation,
    InstanceId,
    OperatorId,
    Revision,
)
from mothshunt.membership.model import InstanceRecord
from mothshunt.util.wire import message


class ChangeStatus(Enum):
    """Outcome of a change or a join."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REFUSED = "refused"


@message("configuration.change")
@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """Command that replaces or removes one configuration item.

    :param change_id: Id set by the operator; a change that is sent again with the same
        id takes effect only once.
    :param operator: Operator who requests the change.
    :param key: Item to change.
    :param base_revision: Revision of the item that the change is based on; 0 if the
        item does not exist.
    :param value: New JSON text of the item; ``None`` removes it.
    :param summary: Text for the audit trail.
    :param made_at_unix_ms: Wall-clock time of the instance that received the change,
        in milliseconds since the Unix epoch; for display only.
    """

    change_id: ChangeId
    operator: OperatorId
    key: ItemKey
    base_revision: Revision
    value: bytes | None
    summary: str
    made_at_unix_ms: int


@message("configuration.join")
@dataclass(frozen=True, kw_only=True, slots=True)
class JoinInstance:
    """Command that adds the record of an instance, with its region's lowest free seat.

    :param record: Record of the instance; its ``seat`` is ignored.
    """

    record: InstanceRecord


@message("configuration.joined")
@dataclass(frozen=True, kw_only=True, slots=True)
class JoinOutcome:
    """Outcome of a join.

    :param status: ``accepted`` or ``refused``.
    :param incarnation: Log index of the join, so that it increases with each join.
    :param seat: Number of the instance among those of its region, from 0.
    :param detail: Explanation for operators.
    """

    status: ChangeStatus
    incarnation: Incarnation
    seat: int
    detail: str = ""


@message("configuration.leave")
@dataclass(frozen=True, kw_only=True, slots=True)
class LeaveInstance:
    """Command that removes the record of a stopped instance and frees its seat.

    :param instance: Name of the instance.
    """

    instance: InstanceId


@message("configuration.outcome")
@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeOutcome:
    """Outcome of a change.

    In a conflict, ``revision``, ``change_id`` and ``operator`` describe the change
    that won.

    :param status: Whether the change was accepted.
    :param revision: Revision at which the change was accepted.
    :param change_id: Id of the change.
    :param operator: Operator who made the change.
    :param repeated: Whether this is the outcome of an earlier change with the same id.
    :param detail: Explanation for operators.
    """

    status: ChangeStatus
    revision: Revision
    change_id: ChangeId
    operator: OperatorId
    repeated: bool = False
    detail: str = ""
