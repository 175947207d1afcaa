"""Log lines of the placement slice: one dataclass for each kind."""

from collections.abc import Mapping
from dataclasses import dataclass

from mothshunt.core.types import (
    Incarnation,
    ServiceName,
    TargetId,
)
from mothshunt.helpers.log import log_event


@log_event("target believed", slice_name="placement")
@dataclass(frozen=True, kw_only=True, slots=True)
class TargetBelieved:
    """Change of a target's health as seen by an entry instance.

    :param target: The target.
    :param service: Service of the target.
    :param belief: Target health: ``sound``; ``cold``; ``down``: no connection could be
        opened; ``silent``: requests are waiting and no response arrives; ``late``: its
        renewals are overdue; ``failing``: too many of its requests fail; ``misplaced``:
        another target responds at its address; ``paused``: it asked for a pause.
    :param before: Previous target health.
    :param failure_share: Smoothed share of its requests that failed.
    :param slowness: Its response time as a multiple of the usual one.
    :param renewal_age_ms: Age of its newest renewal, in milliseconds.
    """

    target: TargetId
    service: ServiceName
    belief: str
    before: str
    failure_share: float
    slowness: float
    renewal_age_ms: int


@log_event("target leaves", slice_name="placement")
@dataclass(frozen=True, kw_only=True, slots=True)
class TargetLeaves:
    """Leave notice in a target's response: the entry sends it no more requests.

    :param target: The target.
    :param incarnation: Incarnation of the target that was known when the request was
        sent.
    :param service: Service of the target.
    """

    target: TargetId
    incarnation: Incarnation
    service: ServiceName


@log_event("placement", slice_name="placement")
@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementReport:
    """Summary of target selection for a service since the previous such line.

    :param service: The service.
    :param chosen: Requests for which a target was selected.
    :param refused: Requests refused because no target had capacity.
    :param known: Selected requests whose target had handled the object before.
    :param by_ring: Selected requests by distance and rank of the target.
    :param spread_part: Share of the objects under global affinity: each has one
        target in the whole deployment.
    :param region_part: Spillover: share of the other objects that is to be sent to
        other regions.
    :param known_ms: Usual response time for objects that the target has handled before,
        in milliseconds.
    :param unknown_ms: Usual response time for other objects, in milliseconds.
    :param mean_ms: Usual response time for all objects, in milliseconds.
    :param targets: Number of targets that requests may be sent to.
    :param expected_requests: Mean number of requests that was expected at the targets
        that reported their load afterwards.
    :param reported_requests: Mean number of requests that these targets reported.
    """

    service: ServiceName
    chosen: int
    refused: int
    known: int
    by_ring: Mapping[str, int]
    spread_part: float
    region_part: float
    known_ms: int
    unknown_ms: int
    mean_ms: int
    targets: int
    expected_requests: float
    reported_requests: float


@log_event("admission", slice_name="placement")
@dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionReport:
    """Admission to a service that is short of capacity, since the previous such line.

    :param service: The service.
    :param admitted: Fraction of the requests that is admitted, by urgency.
    :param limited: Workspaces that ask for more than their fair share, with the
        fraction of their requests that is admitted.
    :param rejected: Requests that this instance rejected, by reason: `level`: the
        admission level; `workspace`: the fair share of the workspace; `capacity`: no
        target had capacity.
    :param demand_per_s: Requests a second for the service, over all entry instances.
    :param capacity_per_s: Requests a second that its targets can handle.
    :param queue: Mean queue of its targets, as a multiple of their slots.
    :param source: `all` if the figures are those of all entry instances; `own` if only
        those of this instance are known, whose demand and capacity are for its own
        requests over some seconds.
    """

    service: ServiceName
    admitted: Mapping[str, float]
    limited: Mapping[str, float]
    rejected: Mapping[str, int]
    demand_per_s: float
    capacity_per_s: float
    queue: float
    source: str
