"""Types of the placement slice."""

from dataclasses import dataclass
from enum import Enum

from mothshunt.core.types import (
    AvailabilityZoneId,
    Incarnation,
    RegionId,
    ServiceName,
    TargetId,
)
from mothshunt.placement import const


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacedTarget:
    """Describe a target that requests may be sent to.

    :param id: Unique name of the target.
    :param incarnation: Grows each time the target starts again.
    :param service: Service that it serves.
    :param host: IP number.
    :param port: TCP port.
    :param region: Region that it runs in.
    :param availability_zone: Availability zone that it runs in.
    :param slots: Requests that it runs at a time.
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
    """Hold what the choice of a target depends on.

    :param service: Service that is asked for.
    :param affinity_key: Object that the request concerns; ``None`` where there is none.
    :param target_latency_s: Time within which an answer is worth most, in seconds.
    :param time_left_s: Time left to the end of the request, in seconds.
    :param home_regions: Regions that the request must not leave; none for all.
    :param excluded: Targets that must not be chosen.
    """

    service: ServiceName
    affinity_key: str | None
    target_latency_s: float
    time_left_s: float
    home_regions: frozenset[RegionId] = frozenset()
    excluded: frozenset[TargetId] = frozenset()


@dataclass(eq=False, kw_only=True, slots=True)
class Choice:
    """Hold a chosen target and the room taken at it, until the attempt has ended.

    :param target: The target.
    :param sent_at: Time at which the room was taken, in seconds.
    :param load: Requests at the target that were known of, this one included.
    :param reason: Distance and rank of the target, for the logs.
    :param affinity_key: Object that the request concerns.
    :param is_known: Whether the target handled the object before.
    :param expected_s: Time that a usual target takes for it, in seconds.
    :param usual_s: Time to its answer where it doesn't know the object, with its wait
        behind others, in seconds.
    :param renewal_age_s: Age of the target's newest renewal, in seconds.
    """

    target: PlacedTarget
    sent_at: float
    load: float
    reason: str
    affinity_key: str | None = None
    is_known: bool = False
    expected_s: float = 0.0
    usual_s: float = 0.0
    renewal_age_s: float = 0.0


class AttemptOutcome(Enum):
    """How an attempt at a target ended."""

    ANSWERED = "answered"
    #: An answer that says that the target failed.
    ERROR_ANSWER = "error_answer"
    #: The target said that it did not run the request.
    SHED = "shed"
    #: Another target answers at the address.
    MISDIRECTED = "misdirected"
    #: No connection could be opened.
    CONNECT_FAILED = "connect_failed"
    #: The connection broke, or what came was no answer.
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    #: A later attempt at another target answered before.
    OVERTAKEN = "overtaken"
    #: The caller left, or another attempt answered first.
    CANCELLED = "cancelled"


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetNotice:
    """Hold what a target asked for with an answer.

    :param is_leaving: Whether it leaves, so that it is to get nothing more.
    :param pause_s: Time for which it is to get nothing, in seconds.
    """

    is_leaving: bool = False
    pause_s: float = 0.0


#: What a target asks for that sends no such field.
NO_NOTICE = TargetNotice()


class Belief(Enum):
    """What an entry instance takes a target for."""

    SOUND = "sound"
    COLD = "cold"
    #: No connection could be opened a moment ago.
    DOWN = "down"
    #: Requests wait and nothing comes.
    SILENT = "silent"
    #: Its renewals are missing.
    LATE = "late"
    FAILING = "failing"
    #: It asked for a pause.
    PAUSED = "paused"
    #: Another target answers at its address.
    MISPLACED = "misplaced"


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportedLoad:
    """Hold what a target says of its load with an answer.

    :param running: Requests that it runs.
    :param waiting: Requests that wait in its queue.
    :param slots: Requests that it runs at a time.
    """

    running: int
    waiting: int
    slots: int

    @property
    def has_room(self) -> bool:
        """Whether few enough wait that another request would not be turned away."""
        return self.waiting < self.slots * const.CROWDED_PART

    def text(self) -> str:
        """Return it for the logs: running and waiting requests of so many slots."""
        return f"{self.running}+{self.waiting}/{self.slots}"
