"""Commands that change routing items, and their outcomes."""

from dataclasses import dataclass
from enum import Enum

from mothshunt.core.types import AvailabilityZoneId, OperatorId, Revision
from mothshunt.routing.model import (
    LimitsItem,
    RetiredTarget,
    RouteItem,
    ServiceItem,
    WorkspaceItem,
)
from mothshunt.util.wire import message


@message("routing.patch")
@dataclass(frozen=True, kw_only=True, slots=True)
class PatchRouting:
    """Command to set and drop routing items.

    An item whose version is not above the stored one is ignored.

    :param operator: Operator who requests it.
    :param routes: Routes to set or drop.
    :param services: Services to set or drop.
    :param limits: Limits for callers; ``None`` leaves them unchanged.
    :param workspaces: Workspaces to set or drop.
    """

    operator: OperatorId
    routes: tuple[RouteItem, ...] = ()
    services: tuple[ServiceItem, ...] = ()
    limits: LimitsItem | None = None
    workspaces: tuple[WorkspaceItem, ...] = ()


class PatchStatus(Enum):
    """Status of a patch."""

    ACCEPTED = "accepted"
    INVALID = "invalid"


@message("routing.patch_outcome")
@dataclass(frozen=True, kw_only=True, slots=True)
class PatchOutcome:
    """Outcome of a patch.

    :param status: Status of the patch.
    :param revision: Revision of the configuration that includes it.
    :param changed: Number of items that took effect.
    :param code: Number of the result code, if the patch is invalid.
    :param detail: Explanation for a person.
    """

    status: PatchStatus
    revision: Revision
    changed: int = 0
    code: int = 0
    detail: str = ""


@message("routing.set_evacuation")
@dataclass(frozen=True, kw_only=True, slots=True)
class SetEvacuation:
    """Command to begin or end the evacuation of an availability zone.

    :param operator: Operator who requests it.
    :param availability_zone: The zone.
    :param is_evacuated: Whether the zone's targets shall get no new requests.
    :param base_revision: Revision of the zone's item when the call arrived; a delayed
        call must not undo a later one.
    """

    operator: OperatorId
    availability_zone: AvailabilityZoneId
    is_evacuated: bool
    base_revision: Revision


@message("routing.evacuation_outcome")
@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationOutcome:
    """Outcome of a command to begin or end an evacuation.

    :param is_accepted: Whether the zone is now in the requested state.
    :param revision: Revision of the zone's item.
    """

    is_accepted: bool
    revision: Revision


@message("routing.retire_target")
@dataclass(frozen=True, kw_only=True, slots=True)
class RetireTarget:
    """Command to record that a target leaves or has left.

    :param retired: Record of the target.
    """

    retired: RetiredTarget


@message("routing.retire_outcome")
@dataclass(frozen=True, kw_only=True, slots=True)
class RetireOutcome:
    """Outcome of a command to record that a target leaves or has left.

    :param revision: Revision of the configuration that includes it.
    """

    revision: Revision
