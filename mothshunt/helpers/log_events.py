"""Log lines of a deployment that routes by hosts: one dataclass for each.

docs/LOG_LINES.md is made from this module. Common to all lines are ``time``, ``level``,
``instance``, ``slice`` and ``text``; a field that has no value is left out.
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
    """The process begins to start.

    :param roles: Duties of the instance.
    """

    roles: tuple[str, ...]


@log_event("ready", slice_name="daemon")
@dataclass(frozen=True, kw_only=True, slots=True)
class Ready:
    """The instance serves from now on.

    :param revision: Revision of the configuration in force.
    :param targets: Targets that it knows.
    """

    revision: int
    targets: int


@log_event("leaving", slice_name="daemon")
@dataclass(frozen=True, kw_only=True, slots=True)
class Leaving:
    """The instance was told to stop: it finishes what is in flight.

    :param in_flight: Requests that are being answered.
    """

    in_flight: int


@log_event("left", slice_name="forwarding")
@dataclass(frozen=True, kw_only=True, slots=True)
class Left:
    """The entry takes no more requests.

    :param unfinished: Requests that were still being answered when the time was over.
    """

    unfinished: int


@log_event("stopped", slice_name="daemon")
@dataclass(frozen=True, kw_only=True, slots=True)
class Stopped:
    """The process ends."""


@log_event("settings reloaded", slice_name="daemon")
@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsReloaded:
    """Changed settings were taken.

    :param seeds: Control instances that they name.
    """

    seeds: tuple[InstanceId, ...]


@log_event("the settings can't be read", slice_name="daemon", level=Level.ERROR)
@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsUnreadable:
    """Changed settings were not taken; those before stay in force.

    :param error: What is wrong with them.
    """

    error: str


@log_event("peer traffic", slice_name="daemon")
@dataclass(frozen=True, kw_only=True, slots=True)
class PeerTraffic:
    """What was sent to other instances since the last such line.

    :param bytes_by_message: Bytes by kind of message.
    """

    bytes_by_message: Mapping[str, int]


@log_event("configuration in force", slice_name="configuration")
@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationInForce:
    """The instance decides by another configuration from now on.

    :param revision: Its revision.
    :param routes: Number of routes.
    :param evacuated_zones: Availability zones whose targets get nothing.
    """

    revision: Revision
    routes: int
    evacuated_zones: tuple[AvailabilityZoneId, ...]


@log_event("attached", slice_name="membership")
@dataclass(frozen=True, kw_only=True, slots=True)
class Attached:
    """A stream leads to a control instance again.

    :param control: The control instance.
    :param attached: Control instances that streams lead to.
    """

    control: InstanceId
    attached: int


@log_event("detached", slice_name="membership", level=Level.WARNING)
@dataclass(frozen=True, kw_only=True, slots=True)
class Detached:
    """No stream leads to a control instance any more.

    :param control: The control instance.
    :param attached: Control instances that streams still lead to; at 0 the instance
        serves by what it knows, and changes don't reach it.
    """

    control: InstanceId
    attached: int


@log_event("entry instance", slice_name="membership")
@dataclass(frozen=True, kw_only=True, slots=True)
class EntryChanged:
    """A control instance heard of a new entry, or of another state of one.

    :param entry: The entry instance.
    :param state: Its state.
    """

    entry: InstanceId
    state: str


@log_event("entry instances are gone", slice_name="membership", level=Level.WARNING)
@dataclass(frozen=True, kw_only=True, slots=True)
class EntriesGone:
    """A control instance names entries no longer, as no stream leads to them.

    :param entries: The entry instances.
    :param left: Entry instances that streams lead to.
    """

    entries: tuple[InstanceId, ...]
    left: int


@log_event("no entry instance for look-ups", slice_name="lookup", level=Level.WARNING)
@dataclass(frozen=True, kw_only=True, slots=True)
class LookupsUnanswered:
    """Callers were told of no entry instance, as none takes requests.

    :param region: Region of the last such caller.
    :param availability_zone: Its availability zone.
    :param unanswered: Such look-ups since the last such line.
    :param known: Entry instances that this instance knows of.
    """

    region: RegionId
    availability_zone: AvailabilityZoneId
    unanswered: int
    known: int


@log_event("founding proposed", slice_name="consensus")
@dataclass(frozen=True, kw_only=True, slots=True)
class FoundingProposed:
    """A first membership of the replicated log was proposed.

    :param round: Number of the proposal's ballot.
    :param granted_by: Instances that granted the last step that was reached.
    :param voters: Voters of the membership that they were asked to accept; none where
        no majority promised.
    :param is_chosen: Whether a majority has accepted it.
    """

    round: int
    granted_by: tuple[InstanceId, ...]
    voters: tuple[InstanceId, ...]
    is_chosen: bool


@log_event("role changed", slice_name="consensus")
@dataclass(frozen=True, kw_only=True, slots=True)
class RoleChanged:
    """The role of a control instance in the replicated log changed.

    :param role: The new role.
    :param term: Its term.
    :param leader: The leader, where known.
    """

    role: str
    term: int
    leader: InstanceId | None = None


@log_event("voters changed", slice_name="consensus")
@dataclass(frozen=True, kw_only=True, slots=True)
class VotersChanged:
    """A control instance holds another membership of the replicated log.

    :param voters: Instances that vote.
    :param learners: Instances that catch up.
    """

    voters: tuple[InstanceId, ...]
    learners: tuple[InstanceId, ...]


@log_event("routing items are set", slice_name="routing")
@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingItemsSet:
    """A call of an operator on routing items was confirmed.

    :param revision: Revision that holds it.
    :param items: Items that took effect.
    :param operator: Who asked.
    """

    revision: Revision
    items: int
    operator: OperatorId


@log_event("evacuation is set", slice_name="routing")
@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationSet:
    """The evacuation of an availability zone, or its end, was confirmed.

    :param zone: The availability zone.
    :param evacuated: Whether its targets get nothing.
    :param revision: Revision that holds it.
    """

    zone: AvailabilityZoneId
    evacuated: bool
    revision: Revision


@log_event("target retires", slice_name="routing")
@dataclass(frozen=True, kw_only=True, slots=True)
class TargetRetires:
    """It was confirmed that a target leaves or has left.

    :param target: The target.
    :param incarnation: Its incarnation.
    :param state: Whether it leaves or has left.
    :param revision: Revision that holds it.
    """

    target: TargetId
    incarnation: Incarnation
    state: str
    revision: Revision


@log_event("target changed", slice_name="registry")
@dataclass(frozen=True, kw_only=True, slots=True)
class TargetChanged:
    """The instance heard of a target, or of a change of one.

    :param target: The target.
    :param incarnation: Its incarnation.
    :param sequence: Number of the renewal that told it.
    :param service: Its service.
    :param state: What it says of itself.
    :param cold_ms: Milliseconds for which it stays cold.
    :param address: ``host:port``.
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
    """The entry takes a target for sound or for something else than before.

    :param target: The target.
    :param service: Its service.
    :param belief: ``sound``; ``cold``; ``down``: no connection could be opened;
        ``silent``: requests wait and nothing comes; ``late``: its renewals are
        missing; ``failing``: it fails often; ``misplaced``: another target answers at
        its address; ``paused``: it asked for a pause.
    :param before: What it was taken for before.
    :param failure_share: Smoothed share of its requests that failed.
    :param slowness: Its time as a multiple of the usual one.
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
    """A target said in an answer that it leaves: the entry sends it nothing more.

    :param target: The target.
    :param incarnation: Its incarnation, as it was known when the request was sent.
    :param service: Its service.
    """

    target: TargetId
    incarnation: Incarnation
    service: ServiceName


@log_event("notice unreadable", slice_name="forwarding", level=Level.WARNING)
@dataclass(frozen=True, kw_only=True, slots=True)
class NoticeUnreadable:
    """A target asked for something with an answer that can't be read.

    :param request_id: The request that it answered.
    :param service: Its service.
    :param target: The target.
    :param code: Number of the result code.
    :param code_name: Its name.
    :param detail: What the target sent.
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
    """Enough entry instances were told by a target, in answers, that it leaves.

    :param target: The target.
    :param incarnation: Its incarnation.
    :param entries: Entry instances that were told so.
    """

    target: TargetId
    incarnation: Incarnation
    entries: tuple[InstanceId, ...]


@log_event("placement", slice_name="placement")
@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementReport:
    """What an entry chose for a service since the last such line.

    :param service: The service.
    :param chosen: Requests that got a target.
    :param refused: Requests that got none for want of room.
    :param known: Chosen ones whose target handled the object before.
    :param by_ring: Chosen ones by distance and rank of the target.
    :param spread_part: Part of the objects that has one target in the whole
        deployment.
    :param region_part: Part of the others that is to leave the region.
    :param known_ms: Usual time for objects that the target handled before.
    :param unknown_ms: Usual time for other objects.
    :param mean_ms: Usual time of all.
    :param targets: Targets that requests may be sent to.
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
    """A target's answer was passed on; some such lines are left out under load.

    :param request_id: The request.
    :param route: Its route.
    :param service: Its service.
    :param status: HTTP status of the answer.
    :param took_ms: Milliseconds since its head was read.
    :param is_late: Whether that is longer than the route's target latency.
    :param attempts: Targets that it was sent to.
    :param target: The target that answered.
    :param ring: Distance and rank of the target, which is why it was chosen.
    :param load: Requests at the target that were known of when it was chosen.
    :param known: Whether the target handled the object before.
    :param expected_ms: Milliseconds that a usual target takes for it.
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
    """An attempt at a target gave no answer for the caller.

    :param request_id: The request.
    :param route: Its route.
    :param service: Its service.
    :param code: Result code of the failure.
    :param code_name: Name of the result code.
    :param detail: More on this occurrence.
    :param ran: Whether the target may have run the request.
    :param took_ms: Milliseconds of the attempt.
    :param revision: Revision of the configuration in force.
    :param target: The target.
    :param ring: Distance and rank of the target, which is why it was chosen.
    :param load: Requests at the target that were known of when it was chosen.
    :param known: Whether the target handled the object before.
    :param renewal_age_ms: Age of the target's newest renewal when it was chosen.
    :param reported: What the target reported: running and waiting requests of slots.
    :param next_step: ``retried``, ``other_attempt`` while one goes on elsewhere, or
        why no other attempt is made.
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
    """The entry gave a request an answer of its own.

    :param request_id: The request.
    :param route: Its route.
    :param service: Its service.
    :param code: Result code.
    :param code_name: Name of the result code.
    :param detail: More on this occurrence.
    :param ran: Whether a target may have run the request.
    :param retry_after_s: Time to come back, in seconds.
    :param took_ms: Milliseconds since its head was read.
    :param attempts: Targets that it was sent to.
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
    """A target's answer ended early after a part of it was passed on.

    :param request_id: The request.
    :param service: Its service.
    :param target: The target.
    :param detail: What happened.
    """

    request_id: RequestId
    service: ServiceName
    target: TargetId
    detail: str


@log_event("lines were left out", slice_name="forwarding", level=Level.WARNING)
@dataclass(frozen=True, kw_only=True, slots=True)
class LinesLeftOut:
    """More lines on requests were due in a second than are written.

    :param lines: Lines that were left out, by their text.
    """

    lines: Mapping[str, int]
