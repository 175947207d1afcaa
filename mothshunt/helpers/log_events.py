"""Log lines of a deployment that routes by host: one dataclass for each kind.

docs/LOG_LINES.md is generated from this module. All lines have ``time``, ``level``,
``instance``, ``slice`` and ``text``; a field without a value is left out.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from mothshunt.core.types import (
    AvailabilityZoneId,
    Incarnation,
    InstanceId,
    OperatorId,
    RegionId,
    RequestId,
    Revision,
    RouteName,
    ServiceName,
    TargetId,
)
from mothshunt.helpers.log import Level, log_event


@log_event("starting", slice_name="daemon")
@dataclass(frozen=True, kw_only=True, slots=True)
class Starting:
    """Start of the process.

    :param roles: Roles of the instance.
    """

    roles: tuple[str, ...]


@log_event("ready", slice_name="daemon")
@dataclass(frozen=True, kw_only=True, slots=True)
class Ready:
    """End of the start: the instance takes requests from now on.

    :param revision: Revision of the configuration in force.
    :param targets: Number of targets that the instance knows.
    """

    revision: int
    targets: int


@log_event("leaving", slice_name="daemon")
@dataclass(frozen=True, kw_only=True, slots=True)
class Leaving:
    """Beginning of an orderly stop: the instance completes the requests in flight.

    :param in_flight: Requests in flight.
    """

    in_flight: int


@log_event("left", slice_name="forwarding")
@dataclass(frozen=True, kw_only=True, slots=True)
class Left:
    """End of the leave of an entry instance: it takes no more requests.

    :param unfinished: Requests that were still in flight when the time allowed for the
        leave ended.
    """

    unfinished: int


@log_event("stopped", slice_name="daemon")
@dataclass(frozen=True, kw_only=True, slots=True)
class Stopped:
    """End of the process."""


@log_event("settings reloaded", slice_name="daemon")
@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsReloaded:
    """Reload of changed settings, which are in force from now on.

    :param seeds: Control instances that the settings name.
    """

    seeds: tuple[InstanceId, ...]


@log_event("the settings can't be read", slice_name="daemon", level=Level.ERROR)
@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsUnreadable:
    """Rejection of changed settings; the previous ones stay in force.

    :param error: What is wrong with the changed settings.
    """

    error: str


@log_event("peer traffic", slice_name="daemon")
@dataclass(frozen=True, kw_only=True, slots=True)
class PeerTraffic:
    """Bytes queued for other instances since the previous such line.

    :param bytes_by_message: Bytes by kind of message.
    """

    bytes_by_message: Mapping[str, int]


@log_event("configuration in force", slice_name="configuration")
@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationInForce:
    """Change of the configuration that the instance routes by.

    :param revision: Revision of the new configuration.
    :param routes: Number of routes.
    :param evacuated_zones: Evacuated availability zones; their targets get no requests.
    """

    revision: Revision
    routes: int
    evacuated_zones: tuple[AvailabilityZoneId, ...]


@log_event("attached", slice_name="membership")
@dataclass(frozen=True, kw_only=True, slots=True)
class Attached:
    """Connection of a stream to a control instance that had none.

    :param control: The control instance.
    :param attached: Number of control instances that this instance has a stream to.
    """

    control: InstanceId
    attached: int


@log_event("detached", slice_name="membership", level=Level.WARNING)
@dataclass(frozen=True, kw_only=True, slots=True)
class Detached:
    """Loss of the last stream between this instance and one control instance.

    :param control: The control instance.
    :param attached: Number of control instances that this instance still has a stream
        to; at 0 it goes on with the state that it has and receives no changes.
    """

    control: InstanceId
    attached: int


@log_event("entry instance", slice_name="membership")
@dataclass(frozen=True, kw_only=True, slots=True)
class EntryChanged:
    """New entry instance, or new state of one, as received by a control instance.

    :param entry: The entry instance.
    :param state: State of the entry instance.
    """

    entry: InstanceId
    state: str


@log_event("entry instances are gone", slice_name="membership", level=Level.WARNING)
@dataclass(frozen=True, kw_only=True, slots=True)
class EntriesGone:
    """Removal of entry instances without a stream from a control instance's list.

    :param entries: The entry instances.
    :param left: Number of entry instances that streams still lead to.
    """

    entries: tuple[InstanceId, ...]
    left: int


@log_event("no entry instance for look-ups", slice_name="lookup", level=Level.WARNING)
@dataclass(frozen=True, kw_only=True, slots=True)
class LookupsUnanswered:
    """Look-ups answered without an entry instance, as none takes requests.

    :param region: Region of the client that sent the last such look-up.
    :param availability_zone: Availability zone of that client.
    :param unanswered: Number of such look-ups since the previous such line.
    :param known: Number of entry instances that this instance knows.
    """

    region: RegionId
    availability_zone: AvailabilityZoneId
    unanswered: int
    known: int


@log_event("founding proposed", slice_name="consensus")
@dataclass(frozen=True, kw_only=True, slots=True)
class FoundingProposed:
    """Proposal of the first membership of the replicated log.

    :param round: Round number of the proposal's ballot.
    :param granted_by: Instances that agreed to the last step that was reached.
    :param voters: Voters of the membership that the instances were asked to accept;
        empty if no majority promised to accept one.
    :param is_chosen: Whether a majority has accepted the membership.
    """

    round: int
    granted_by: tuple[InstanceId, ...]
    voters: tuple[InstanceId, ...]
    is_chosen: bool


@log_event("role changed", slice_name="consensus")
@dataclass(frozen=True, kw_only=True, slots=True)
class RoleChanged:
    """Change of the role of a control instance in the replicated log.

    :param role: The new role.
    :param term: Term in which it has the role.
    :param leader: Leader of the term, if known.
    """

    role: str
    term: int
    leader: InstanceId | None = None


@log_event("voters changed", slice_name="consensus")
@dataclass(frozen=True, kw_only=True, slots=True)
class VotersChanged:
    """Change of the membership of the replicated log, as stored by a control instance.

    :param voters: Instances that vote.
    :param learners: Instances that receive the log but don't vote yet.
    """

    voters: tuple[InstanceId, ...]
    learners: tuple[InstanceId, ...]


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


@log_event("rate limit", slice_name="rate_limit")
@dataclass(frozen=True, kw_only=True, slots=True)
class RateLimitChanged:
    """Rate limit of a target that has begun, changed or ended.

    :param target: The target.
    :param incarnation: Incarnation of the target.
    :param per_s: Requests a second that it accepts from all entry instances together;
        none if the limit has ended.
    :param before_per_s: The limit before; none if there was none.
    :param source: `response` if a response of the target said so; else the control
        instance that did.
    """

    target: TargetId
    incarnation: Incarnation
    per_s: float | None = None
    before_per_s: float | None = None
    source: str


@log_event("rate limited", slice_name="rate_limit")
@dataclass(frozen=True, kw_only=True, slots=True)
class RateLimitReport:
    """Use of a target that names a rate limit, by this instance since the last line.

    :param target: The target.
    :param per_s: Requests a second that it accepts from all entry instances together.
    :param sent: Requests that this instance sent to it.
    :param denied: Requests that it did not send there, as it got no token for them.
    """

    target: TargetId
    per_s: float | None
    sent: int
    denied: int


@log_event("notice unreadable", slice_name="forwarding", level=Level.WARNING)
@dataclass(frozen=True, kw_only=True, slots=True)
class NoticeUnreadable:
    """Notice in a target's response that can't be parsed.

    :param request_id: Request that the target responded to.
    :param service: Service of the request.
    :param target: The target.
    :param code: Number of the result code.
    :param code_name: Name of the result code.
    :param detail: Text that the target sent.
    """

    request_id: RequestId
    service: ServiceName
    target: TargetId
    code: int
    code_name: str
    detail: str


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


@log_event("answered", slice_name="forwarding")
@dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """Forwarded response of a target; under load some such lines are left out.

    :param request_id: The request.
    :param route: Route of the request.
    :param service: Service of the request.
    :param status: HTTP status of the response.
    :param took_ms: Milliseconds since the head of the request was read.
    :param is_late: Whether that exceeds the route's target latency.
    :param attempts: Number of targets that the request was sent to.
    :param target: Target that sent the response.
    :param ring: Distance and rank of the target, for which it was selected.
    :param load: Known number of requests at the target when it was selected.
    :param known: Whether the target had handled the object before.
    :param expected_ms: Milliseconds that a usual target takes for the request.
    :param revision: Revision of the configuration in force.
    """

    request_id: RequestId
    route: RouteName
    service: ServiceName
    status: int
    took_ms: int
    is_late: bool
    attempts: int
    target: TargetId
    ring: str
    load: float
    known: bool
    expected_ms: int
    revision: Revision


@log_event("attempt failed", slice_name="forwarding")
@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptFailed:
    """Attempt at a target that gave no response to forward.

    :param request_id: The request.
    :param route: Route of the request.
    :param service: Service of the request.
    :param code: Number of the result code.
    :param code_name: Name of the result code.
    :param detail: Details of this failure.
    :param ran: Whether the target may have run the request.
    :param took_ms: Duration of the attempt, in milliseconds.
    :param revision: Revision of the configuration in force.
    :param target: The target.
    :param ring: Distance and rank of the target, for which it was selected.
    :param load: Known number of requests at the target when it was selected.
    :param known: Whether the target had handled the object before.
    :param renewal_age_ms: Age of the target's newest renewal when it was selected, in
        milliseconds.
    :param reported: Load that the target reported: running and waiting requests of its
        slots.
    :param next_step: ``retried``; ``other_attempt``: another attempt is still running;
        or the reason why no further attempt is made.
    """

    request_id: RequestId
    route: RouteName
    service: ServiceName
    code: int
    code_name: str
    detail: str | None
    ran: str
    took_ms: int
    revision: Revision
    target: TargetId
    ring: str
    load: float
    known: bool
    renewal_age_ms: int
    reported: str | None
    next_step: str


@log_event("refused", slice_name="forwarding")
@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """Error response of the entry instance itself to a request.

    :param request_id: The request.
    :param route: Route of the request.
    :param service: Service of the request.
    :param code: Number of the result code.
    :param code_name: Name of the result code.
    :param detail: Details of this refusal.
    :param ran: Whether a target may have run the request.
    :param retry_after_s: Retry-after time, in seconds.
    :param took_ms: Milliseconds since the head of the request was read.
    :param attempts: Number of targets that the request was sent to.
    :param revision: Revision of the configuration in force.
    """

    request_id: RequestId
    route: RouteName
    service: ServiceName
    code: int
    code_name: str
    detail: str | None
    ran: str
    retry_after_s: float | None
    took_ms: int
    attempts: int
    revision: Revision


@log_event("answer broken off", slice_name="forwarding", level=Level.WARNING)
@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerBrokenOff:
    """Response of a target that ended early after a part of it had been forwarded.

    :param request_id: The request.
    :param service: Service of the request.
    :param target: The target.
    :param detail: Cause of the early end.
    """

    request_id: RequestId
    service: ServiceName
    target: TargetId
    detail: str


@log_event("lines were left out", slice_name="forwarding", level=Level.WARNING)
@dataclass(frozen=True, kw_only=True, slots=True)
class LinesLeftOut:
    """Lines on requests that were left out because too many were due within a second.

    :param lines: Number of left-out lines, by their text.
    """

    lines: Mapping[str, int]
