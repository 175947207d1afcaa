"""Log lines of the routing slice: one dataclass for each kind."""

from dataclasses import dataclass

from mothshunt.core.types import (
    AvailabilityZoneId,
    Incarnation,
    OperatorId,
    Revision,
    TargetId,
)
from mothshunt.helpers.log import log_event


@log_event("routing items are set", slice_name="routing")
@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingItemsSet:
    """Confirmation of an operator's change to routing items.

    :param revision: Revision that contains the change.
    :param items: Number of items that took effect.
    :param operator: Operator who made the change.
    """

    revision: Revision
    items: int
    operator: OperatorId


@log_event("evacuation is set", slice_name="routing")
@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationSet:
    """Confirmation that an availability zone is evacuated, or no longer evacuated.

    :param zone: The availability zone.
    :param evacuated: Whether the zone is evacuated; its targets then get no requests.
    :param revision: Revision that contains the change.
    """

    zone: AvailabilityZoneId
    evacuated: bool
    revision: Revision


@log_event("target retires", slice_name="routing")
@dataclass(frozen=True, kw_only=True, slots=True)
class TargetRetires:
    """Confirmation that a target is leaving or has left.

    :param target: The target.
    :param incarnation: Incarnation of the target.
    :param state: Whether the target is leaving or has left.
    :param revision: Revision that contains the change.
    """

    target: TargetId
    incarnation: Incarnation
    state: str
    revision: Revision
