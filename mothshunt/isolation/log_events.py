"""Log lines of the isolation slice: one dataclass for each kind."""

from dataclasses import dataclass

from mothshunt.helpers.log import Level, log_event


@log_event("isolated from targets", slice_name="isolation", level=Level.WARNING)
@dataclass(frozen=True, kw_only=True, slots=True)
class IsolationBegan:
    """Begin of an isolation: this instance reaches no target, and relays requests.

    :param quiet_ms: Milliseconds since the last response of any target.
    :param targets: Targets that attempts failed or are silent at.
    :param nats: Evidence: minus the natural logarithm of the probability that targets
        which are reached behave so.
    :param relays: Entry instances that requests can be relayed to.
    """

    quiet_ms: int
    targets: int
    nats: float
    relays: int


@log_event("isolation ended", slice_name="isolation")
@dataclass(frozen=True, kw_only=True, slots=True)
class IsolationEnded:
    """All requests go to targets again.

    :param lasted_ms: Milliseconds since the isolation began.
    :param relayed: Requests that were relayed meanwhile.
    :param refused: Requests that no entry instance took.
    """

    lasted_ms: int
    relayed: int
    refused: int


@log_event("withdrawn from look-ups", slice_name="isolation")
@dataclass(frozen=True, kw_only=True, slots=True)
class Withdrawn:
    """Change of whether look-ups name this instance during an isolation.

    :param is_withdrawn: Whether they name it no more.
    """

    is_withdrawn: bool
