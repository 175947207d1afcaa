"""What the choice of a target needs of the control of admission."""

from typing import Protocol

from mothshunt.core.codes import Failure
from mothshunt.placement.model import (
    AttemptOutcome,
    Choice,
    PlacementRequest,
    ReportedLoad,
)


class AdmissionControl(Protocol):
    """Admission of requests before capacity is reserved at a target."""

    def reject(self, request: PlacementRequest) -> Failure | None:
        """Return the reason to reject a request; ``None`` to admit it.

        :param request: Properties of the request.
        """
        ...

    def record_no_capacity(self, request: PlacementRequest) -> None:
        """Record that no target had capacity for a request.

        :param request: Properties of the request.
        """
        ...

    def record_choice(
        self, choice: Choice, request: PlacementRequest, now: float
    ) -> None:
        """Record that capacity was reserved for a request.

        :param choice: The reservation.
        :param request: Properties of the request.
        :param now: The present time, in seconds.
        """
        ...

    def record_end(
        self,
        choice: Choice,
        outcome: AttemptOutcome,
        reported: ReportedLoad | None,
        now: float,
    ) -> None:
        """Record the end of an attempt.

        :param choice: The reservation.
        :param outcome: Outcome of the attempt.
        :param reported: Load that the target reported; ``None`` if it reported none.
        :param now: The present time, in seconds.
        """
        ...


class NoAdmissionControl:
    """Admission of everything, as where all are equal; an ``AdmissionControl``."""

    def reject(self, request: PlacementRequest) -> Failure | None:
        """Admit a request."""
        return None

    def record_no_capacity(self, request: PlacementRequest) -> None:
        """Record nothing."""

    def record_choice(
        self, choice: Choice, request: PlacementRequest, now: float
    ) -> None:
        """Record nothing."""

    def record_end(
        self,
        choice: Choice,
        outcome: AttemptOutcome,
        reported: ReportedLoad | None,
        now: float,
    ) -> None:
        """Record nothing."""
