"""Commands and outcomes of changes of the routing items."""

from dataclasses import dataclass
from enum import Enum

from mothshunt.core.types import AvailabilityZoneId, OperatorId, Revision
from mothshunt.routing.model import LimitsItem, RetiredTarget, RouteItem, ServiceItem
from mothshunt.util.wire import message


@message("routing.patch")
@dataclass(frozen=True, kw_only=True, slots=True)
class PatchRouting:
    """Set and drop routing items; an item of a lower or equal version is passed over.

    :param operator: Who asks.
    :param routes: Routes, set or dropped.
    :param services: Services, set or dropped.
    :param limits: Limits for callers; ``None`` leaves them.
    """

    operator: OperatorId
    routes: tuple[RouteItem, ...] = ()
    services: tuple[ServiceItem, ...] = ()
    limits: LimitsItem | None = None


class PatchStatus(Enum):
    """What became of a patch."""

    ACCEPTED = "accepted"
    INVALID = "invalid"


@message("routing.patch_outcome")
@dataclass(frozen=True, kw_only=True, slots=True)
class PatchOutcome:
    """Tell what became of a patch.

    :param status: What became of it.
    :param revision: Revision that holds it.
    :param changed: Items that took effect.
    :param code: Number of the result code, where it is invalid.
    :param detail: Text for a person.
    """

    status: PatchStatus
    revision: Revision
    changed: int = 0
    code: int = 0
    detail: str = ""


@message("routing.set_evacuation")
@dataclass(frozen=True, kw_only=True, slots=True)
class SetEvacuation:
    """Begin or end the evacuation of an availability zone.

    :param operator: Who asks.
    :param availability_zone: The zone.
    :param is_evacuated: Whether its targets are to get nothing.
    :param base_revision: Revision of the zone's item when the call arrived; a call
        that was held up must not undo a later one.
    """

    operator: OperatorId
    availability_zone: AvailabilityZoneId
    is_evacuated: bool
    base_revision: Revision


@message("routing.evacuation_outcome")
@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationOutcome:
    """Tell what became of an evacuation.

    :param is_accepted: Whether it stands as asked.
    :param revision: Revision of the zone's item.
    """

    is_accepted: bool
    revision: Revision


@message("routing.retire_target")
@dataclass(frozen=True, kw_only=True, slots=True)
class RetireTarget:
    """Record that a target leaves or has left.

    :param retired: The target.
    """

    retired: RetiredTarget


@message("routing.retire_outcome")
@dataclass(frozen=True, kw_only=True, slots=True)
class RetireOutcome:
    """Tell that the leave of a target is recorded.

    :param revision: Revision that holds it.
    """

    revision: Revision
