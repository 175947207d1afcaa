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
    """What became of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REFUSED = "refused"


@message("configuration.change")
@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """Replace or remove one configuration item.

    :param change_id: Chosen by the operator; sent again, it is the same change.
    :param operator: Who asks.
    :param key: The item.
    :param base_revision: Revision of the item that the change is based on; 0 where
        the item does not exist.
    :param value: New JSON text of the item; ``None`` removes it.
    :param summary: Text for the audit trail.
    :param made_at_unix_ms: Wall clock of the instance that took the change, in
        milliseconds; only shown, nothing is decided by it.
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
    """Record an instance, with the lowest free seat of its region.

    :param record: The instance; its seat is ignored.
    """

    record: InstanceRecord


@message("configuration.joined")
@dataclass(frozen=True, kw_only=True, slots=True)
class JoinOutcome:
    """Tell what became of a join.

    :param status: ``accepted`` or ``refused``.
    :param incarnation: Grows with each join; the log index of this one.
    :param seat: Number of the instance among those of its region.
    :param detail: Text for a person.
    """

    status: ChangeStatus
    incarnation: Incarnation
    seat: int
    detail: str = ""


@message("configuration.leave")
@dataclass(frozen=True, kw_only=True, slots=True)
class LeaveInstance:
    """Remove an instance that has stopped; its seat becomes free.

    :param instance: Name of the instance.
    """

    instance: InstanceId


@message("configuration.outcome")
@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeOutcome:
    """Tell what became of a change.

    :param status: What became of it.
    :param revision: Revision at which the change, or the winner of a conflict,
        was accepted.
    :param change_id: The change, or the winner of a conflict.
    :param operator: Who made it.
    :param repeated: Whether this is the first answer given once more.
    :param detail: Text for a person.
    """

    status: ChangeStatus
    revision: Revision
    change_id: ChangeId
    operator: OperatorId
    repeated: bool = False
    detail: str = ""
