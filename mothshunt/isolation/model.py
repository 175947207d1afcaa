"""Types of isolation, and the interface that forwarding uses."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from aiohttp import web

from mothshunt.core.codes import Failure
from mothshunt.forwarding.attempt import OutgoingRequest
from mothshunt.forwarding.retry import RetryState
from mothshunt.forwarding.tries import ChosenResponse
from mothshunt.placement.model import AttemptOutcome, Choice

RequestResult = ChosenResponse | Failure


class Phase(Enum):
    """Contact of an entry instance with targets."""

    CONNECTED = "connected"
    #: No target can be reached; requests are relayed.
    ISOLATED = "isolated"
    #: Targets respond again; requests return to them gradually.
    RECOVERING = "recovering"


class Path(Enum):
    """Way of a request."""

    TARGET = "target"
    RELAY = "relay"
    #: To a target, and by relay as well if that takes longer than usual.
    TRIAL = "trial"


@dataclass(frozen=True, kw_only=True, slots=True)
class Surroundings:
    """Targets that an entry instance sends most requests to.

    :param targets: Number of targets of its region.
    :param zones: Number of availability zones of these.
    """

    targets: int
    zones: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Evidence:
    """Attempts that failed or are silent since the last response of any target.

    Evidence is given in nats: minus the natural logarithm of the probability that
    targets which are reached behave so.

    :param nats: All evidence.
    :param nats_outside_service: Evidence without that of the service that adds most.
    :param nats_outside_zone: Evidence without that of the zone that adds most.
    :param targets: Number of targets that add to it.
    """

    nats: float
    nats_outside_service: float
    nats_outside_zone: float
    targets: int


class Isolation(Protocol):
    """Interface of isolation for forwarding."""

    @property
    def is_isolated(self) -> bool:
        """Whether no target can be reached at present."""
        ...

    def isolation_failure(self) -> Failure:
        """Return the reason against further attempts while isolated."""
        ...

    def record_start(self, choice: Choice) -> None:
        """Record the start of an attempt.

        :param choice: Target of the attempt.
        """
        ...

    def record_end(self, choice: Choice, outcome: AttemptOutcome) -> None:
        """Record the end of an attempt.

        :param choice: Target of the attempt.
        :param outcome: How it ended.
        """
        ...

    async def async_run(
        self,
        request: web.Request,
        outgoing: OutgoingRequest,
        retry_state: RetryState,
        run: Callable[[], Awaitable[RequestResult]],
    ) -> RequestResult:
        """Return the response for the caller, from targets or by relay.

        :param request: Request of the caller.
        :param outgoing: The request as it is sent to targets.
        :param retry_state: State from which retries are decided.
        :param run: Makes attempts at targets.
        """
        ...


class NoIsolation:
    """Isolation of an instance that doesn't relay; an ``Isolation``."""

    is_isolated = False

    def isolation_failure(self) -> Failure:
        """Raise an error, as it is never isolated."""
        raise NotImplementedError

    def record_start(self, choice: Choice) -> None:
        """Record nothing.

        :param choice: Target of the attempt.
        """

    def record_end(self, choice: Choice, outcome: AttemptOutcome) -> None:
        """Record nothing.

        :param choice: Target of the attempt.
        :param outcome: How it ended.
        """

    async def async_run(
        self,
        request: web.Request,
        outgoing: OutgoingRequest,
        retry_state: RetryState,
        run: Callable[[], Awaitable[RequestResult]],
    ) -> RequestResult:
        """Return the response of targets.

        :param request: Request of the caller.
        :param outgoing: The request as it is sent to targets.
        :param retry_state: State from which retries are decided.
        :param run: Makes attempts at targets.
        """
        return await run()
