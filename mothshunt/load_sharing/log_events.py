"""Log lines of the load_sharing slice: one dataclass for each kind."""

from dataclasses import dataclass

from mothshunt.core.types import ServiceName
from mothshunt.helpers.log import log_event


@log_event("load sharing", slice_name="load_sharing")
@dataclass(frozen=True, kw_only=True, slots=True)
class LoadSharingChanged:
    """Begin or end of the use of shared loads at this entry instance.

    :param is_active: Whether loads of targets are shared from now on.
    :param entries: Number of entry instances.
    :param workspaces: Number of workspaces in the configuration.
    :param has_slowdowns: Whether a target has reported the slowdown of its machine.
    :param has_queues: Whether requests have waited at the targets lately.
    """

    is_active: bool
    entries: int
    workspaces: int
    has_slowdowns: bool
    has_queues: bool


@log_event("target spread", slice_name="load_sharing")
@dataclass(frozen=True, kw_only=True, slots=True)
class TargetSpread:
    """Spread of the load over the targets of a service, as this instance knows it.

    :param service: The service.
    :param targets: Number of targets with a recent figure.
    :param utilization: Mean of their requests, as a multiple of their slots.
    :param busiest_by_mean: The busiest one, as a multiple of the mean.
    :param moved_share: Share of the objects that go to the second target in the order
        of their hashes.
    """

    service: ServiceName
    targets: int
    utilization: float
    busiest_by_mean: float
    moved_share: float
