"""Log lines of the registry slice: one dataclass for each kind."""

from dataclasses import dataclass

from mothshunt.core.types import (
    Incarnation,
    InstanceId,
    ServiceName,
    TargetId,
)
from mothshunt.helpers.log import log_event


@log_event("target changed", slice_name="registry")
@dataclass(frozen=True, kw_only=True, slots=True)
class TargetChanged:
    """New target, or change of a known one, as received by this instance.

    :param target: The target.
    :param incarnation: Incarnation of the target.
    :param sequence: Sequence number of the renewal that reported the change.
    :param service: Service of the target.
    :param state: State that the target reports.
    :param cold_ms: Remaining time for which the target stays cold, in milliseconds.
    :param address: Address as ``host:port``.
    """

    target: TargetId
    incarnation: Incarnation
    sequence: int
    service: ServiceName
    state: str
    cold_ms: int
    address: str


@log_event("leave witnessed", slice_name="registry")
@dataclass(frozen=True, kw_only=True, slots=True)
class LeaveWitnessed:
    """Leave notices of a target, in responses to enough entry instances.

    :param target: The target.
    :param incarnation: Incarnation of the target.
    :param entries: Entry instances that received such a notice.
    """

    target: TargetId
    incarnation: Incarnation
    entries: tuple[InstanceId, ...]
