"""Interfaces to change and read the configuration, used by the admin slice."""

from dataclasses import dataclass
from typing import Protocol

from expression import Result

from mothshunt.configuration.messages import Change, ChangeOutcome
from mothshunt.configuration.model import ItemKey, Section
from mothshunt.core.codes import Failure
from mothshunt.core.types import ChangeId, InstanceId, OperatorId, Revision
from mothshunt.util.wire import message


@message("configuration.item")
@dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """Configuration item.

    :param key: Key of the item.
    :param revision: Revision at which it was last changed; ``base_revision`` of the
        next change.
    :param value: JSON text; ``None`` if the item was removed.
    """

    key: ItemKey
    revision: Revision
    value: bytes | None


@message("configuration.audit_record")
@dataclass(frozen=True, kw_only=True, slots=True)
class AuditRecord:
    """Entry of the audit trail for an accepted change.

    :param revision: Revision at which the change was accepted.
    :param change_id: Id of the change.
    :param operator: Operator who made the change.
    :param key: Item that was changed.
    :param summary: Description by the operator or the system.
    :param made_at_unix_ms: Wall-clock time of the change, in milliseconds since the
        Unix epoch.
    :param value: JSON text of the item after the change; ``None`` if it was removed.
    """

    revision: Revision
    change_id: ChangeId
    operator: OperatorId
    key: ItemKey
    summary: str
    made_at_unix_ms: int
    value: bytes | None


class ConfigurationService(Protocol):
    """Changes of the configuration, and reads that a majority confirms."""

    async def async_submit(
        self, change: Change, timeout_s: float
    ) -> Result[ChangeOutcome, Failure]:
        """Commit a change.

        :param change: Change to commit.
        :param timeout_s: Longest wait, in seconds.
        :return: Outcome of the change; or a failure whose ``ran`` is ``no`` if the
            change can't be accepted any more, ``unknown`` if it still can.
        """
        ...

    async def async_find(
        self, change_id: ChangeId, timeout_s: float
    ) -> Result[ChangeOutcome | None, Failure]:
        """Return the outcome of a change, or ``None`` if none is recorded.

        ``None`` means that the change has not been accepted, unless so many changes
        followed that its outcome is no longer kept.

        :param change_id: Id of the change.
        :param timeout_s: Longest wait, in seconds.
        """
        ...

    async def async_items(
        self, section: Section, timeout_s: float
    ) -> Result[tuple[Item, ...], Failure]:
        """Return the items of a section that are not removed, confirmed by a majority.

        :param section: Section whose items are returned.
        :param timeout_s: Longest wait, in seconds.
        """
        ...

    async def async_audit(
        self, key: ItemKey | None, limit: int, timeout_s: float
    ) -> Result[tuple[AuditRecord, ...], Failure]:
        """Return accepted changes, newest first, confirmed by a majority.

        :param key: Item whose changes are returned; ``None`` for all items.
        :param limit: Maximum number of records.
        :param timeout_s: Longest wait, in seconds.
        """
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceStatus:
    """State of one instance as known to the control instances.

    :param id: Name of the instance.
    :param region: Its region.
    :param availability_zone: Its availability zone.
    :param roles: Values of its roles.
    :param state: State that it last reported, or ``lost`` if it is unreachable.
    :param revision: Revision in force that it last reported.
    :param age_s: Seconds since its last report; ``None`` if there was none.
    :param in_flight: Requests in flight that it last reported.
    """

    id: InstanceId
    region: str
    availability_zone: str
    roles: tuple[str, ...]
    state: str
    revision: Revision
    age_s: float | None
    in_flight: int


class StatusService(Protocol):
    """Source of the states of all instances in the deployment."""

    async def async_instances(
        self, timeout_s: float
    ) -> Result[tuple[InstanceStatus, ...], Failure]:
        """Return the state of each recorded instance, sorted by id.

        :param timeout_s: Longest wait, in seconds.
        """
        ...
