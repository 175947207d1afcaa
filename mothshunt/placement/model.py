"""Types of the placement slice."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from mothshunt.core.types import (
    AvailabilityZoneId,
    Incarnation,
    RegionId,
    ServiceName,
    TargetId,
    WorkspaceName,
)
from mothshunt.placement import const


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutableTarget:
    """Target that requests may be sent to, with its address.

    :param id: Unique name of the target.
    :param incarnation: Number that grows with each start of the target.
    :param service: Service that the target belongs to.
    :param host: IP address.
    :param port: TCP port.
    :param region: Region of the target.
    :param availability_zone: Availability zone of the target.
    :param slots: Number of requests that the target handles concurrently.
    """

    id: TargetId
    incarnation: Incarnation
    service: ServiceName
    host: str
    port: int
    region: RegionId
    availability_zone: AvailabilityZoneId
    slots: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequest:
    """Properties of a request on which the choice of its target depends.

    :param service: The requested service.
    :param affinity_key: Key of the object that the request is for; ``None`` if it is
        for none.
    :param target_latency_s: Target latency of the route: time within which a response
        is worth most, in seconds.
    :param time_left_s: Time left until the deadline of the request, in seconds.
    :param home_regions: Regions that the request is restricted to; empty if it may go
        to all.
    :param excluded: Targets that must not be chosen.
    :param accepts_limited: Whether targets that name a rate limit may be chosen.
    :param urgency: Rank of the request; 0 is the most urgent.
    :param workspace: Workspace that the request belongs to; ``None`` for none.
    """

    service: ServiceName
    affinity_key: str | None
    target_latency_s: float
    time_left_s: float
    home_regions: frozenset[RegionId] = frozenset()
    excluded: frozenset[TargetId] = frozenset()
    accepts_limited: bool = True
    urgency: int = 0
    workspace: WorkspaceName | None = None


@dataclass(eq=False, kw_only=True, slots=True)
class Choice:
    """Chosen target, with the capacity reserved at it until the attempt has ended.

    :param target: The target.
    :param sent_at: Time of the reservation, or of the token if one was needed, in
        seconds.
    :param load: Estimated number of requests at the target, this one included.
    :param reason: Scope and rank that the target was chosen by, for the logs.
    :param affinity_key: Key of the object that the request is for.
    :param is_known: Whether the target knows the object: it has handled a request for
        it before.
    :param expected_s: Expected service time of an average target, in seconds.
    :param unknown_object_s: Expected time to the response if the target does not know
        the object, queueing included, in seconds.
    :param renewal_age_s: Age of the target's newest renewal, in seconds.
    :param token_until: Time up to which the request may be sent to a target that names
        a rate limit, in seconds.
    :param urgency: Urgency of the request, where admission is controlled.
    :param due_at: Time at which its target latency passes, in seconds.
    """

    target: RoutableTarget
    sent_at: float
    load: float
    reason: str
    affinity_key: str | None = None
    is_known: bool = False
    expected_s: float = 0.0
    unknown_object_s: float = 0.0
    renewal_age_s: float = 0.0
    token_until: float = float("-inf")
    urgency: int = 0
    due_at: float = float("inf")


class AttemptOutcome(Enum):
    """Outcome of an attempt to have a target handle a request."""

    ANSWERED = "answered"
    #: The response reports a failure of the target.
    ERROR_ANSWER = "error_answer"
    #: The target rejected the request without running it.
    SHED = "shed"
    #: Another target responded at the address.
    MISDIRECTED = "misdirected"
    #: No connection could be opened.
    CONNECT_FAILED = "connect_failed"
    #: The connection broke, or the data received was not a valid response.
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    #: A later attempt, at another target, got its response first.
    OVERTAKEN = "overtaken"
    #: The caller closed its connection, or another attempt got its response first.
    CANCELLED = "cancelled"


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetNotice:
    """Request of a target, sent with a response, to get no more requests.

    :param is_leaving: Whether the target leaves and should get no more requests.
    :param pause_s: Time for which it should get no requests, in seconds; 0 for none.
    """

    is_leaving: bool = False
    pause_s: float = 0.0


#: Notice of a response that has none of these header fields.
NO_NOTICE = TargetNotice()


class TargetHealth(Enum):
    """Condition of a target as one entry instance sees it."""

    HEALTHY = "sound"
    #: It takes only a limited rate of requests, such as after its start.
    COLD = "cold"
    #: The last attempt to connect failed, and its back-off has not ended.
    DOWN = "down"
    #: Requests have been pending for long without any response.
    SILENT = "silent"
    #: Its registration has not been renewed in time.
    LATE = "late"
    #: Its failure share is above the limit.
    FAILING = "failing"
    #: The target asked for a pause that has not ended.
    PAUSED = "paused"
    #: Another target responded at its address.
    MISPLACED = "misplaced"


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportedLoad:
    """Load that a target reported with a response.

    :param running: Number of requests that it is handling.
    :param waiting: Number of requests in its queue.
    :param slots: Number of requests that it handles concurrently.
    :param slowdown: Time that work takes on its machine at present, as a multiple of
        the usual; 1 if the target does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0

    @property
    def has_capacity(self) -> bool:
        """Whether the queue is short enough that one more request would be accepted."""
        return self.waiting < self.slots * const.CROWDED_QUEUE_FACTOR

    def text(self) -> str:
        """Return the load as "running+waiting/slots", for the logs."""
        return f"{self.running}+{self.waiting}/{self.slots}"


class RateLimitView(Protocol):
    """Rate limits of targets, as the choice of a target depends on them."""

    def has_limits(self) -> bool:
        """Whether any target may name a limit; checked once for each choice."""
        ...

    def limit_per_s(self, target: RoutableTarget) -> float | None:
        """Return the requests a second that a target accepts in all.

        :param target: The target.
        :return: Its limit; ``None`` if it names none.
        """
        ...

    def next_token_at(self, target: RoutableTarget) -> float | None:
        """Return when there may be a token for a target that names a limit, in seconds.

        :param target: The target.
        :return: The time, possibly past; ``None`` if no one can issue tokens at
            present.
        """
        ...


class NoRateLimits:
    """Rate limits of targets that name none; a ``RateLimitView``."""

    def has_limits(self) -> bool:
        """Return that no target names a limit."""
        return False

    def limit_per_s(self, target: RoutableTarget) -> float | None:
        """Return that a target names no limit.

        :param target: The target.
        """
        return None

    def next_token_at(self, target: RoutableTarget) -> float | None:
        """Return that there are no tokens, which nothing needs.

        :param target: The target.
        """
        return None
