"""Changes and confirmed reads of the configuration, as the admin slice uses them."""

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
    """Hold one configuration item.

    :param key: Name of the item.
    :param revision: Revision at which it was last changed; the base of a change.
    :param value: JSON text; ``None`` where the item was removed.
    """

    key: ItemKey
    revision: Revision
    value: bytes | None


@message("configuration.audit_record")
@dataclass(frozen=True, kw_only=True, slots=True)
class AuditRecord:
    """Tell of one accepted change.

    :param revision: Revision at which it was accepted.
    :param change_id: The change.
    :param operator: Who made it.
    :param key: The item that it changed.
    :param summary: Text of the operator or of the system.
    :param made_at_unix_ms: Wall clock when it was made, in milliseconds.
    :param value: JSON text of the item after the change; ``None`` where removed.
    """

    revision: Revision
    change_id: ChangeId
    operator: OperatorId
    key: ItemKey
    summary: str
    made_at_unix_ms: int
    value: bytes | None


class ConfigurationService(Protocol):
    """Change the configuration and read it as a majority holds it."""

    async def async_submit(
        self, change: Change, timeout_s: float
    ) -> Result[ChangeOutcome, Failure]:
        """Have a change committed.

        :param change: The change.
        :param timeout_s: Seconds to wait.
        :return: Its outcome; or a failure whose ``ran`` is ``no`` when it will never
            be accepted, ``unknown`` when it may be.
        """
        ...

    async def async_find(
        self, change_id: ChangeId, timeout_s: float
    ) -> Result[ChangeOutcome | None, Failure]:
        """Return what became of a change, ``None`` when it was never accepted.

        :param change_id: The change.
        :param timeout_s: Seconds to wait.
        """
        ...

    async def async_items(
        self, section: Section, timeout_s: float
    ) -> Result[tuple[Item, ...], Failure]:
        """Return all present items of a section, confirmed by a majority.

        :param section: The section.
        :param timeout_s: Seconds to wait.
        """
        ...

    async def async_audit(
        self, key: ItemKey | None, limit: int, timeout_s: float
    ) -> Result[tuple[AuditRecord, ...], Failure]:
        """Return the newest accepted changes first, confirmed by a majority.

        :param key: Only changes of this item; ``None`` for all.
        :param limit: Most records to return.
        :param timeout_s: Seconds to wait.
        """
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceStatus:
    """Tell how one instance stands, as the control instances know it.

    :param id: Name of the instance.
    :param region: Its region.
    :param availability_zone: Its availability zone.
    :param roles: Its duties, by value.
    :param state: What it last reported of itself, or ``lost`` when unreachable.
    :param revision: Revision in force there as last reported.
    :param age_s: Seconds since it was last heard of; ``None`` when never.
    :param in_flight: Requests in flight there as last reported.
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
    """Tell how the instances of the deployment stand."""

    async def async_instances(
        self, timeout_s: float
    ) -> Result[tuple[InstanceStatus, ...], Failure]:
        """Return the state of every recorded instance, sorted by id.

        :param timeout_s: Seconds to wait.
        """
        ...
