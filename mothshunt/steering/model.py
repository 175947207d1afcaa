"""Selection of a target, as the dispatch of requests uses it."""

from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from expression import Result

from mothshunt.contract.model import Contract
from mothshunt.core.codes import Failure
from mothshunt.core.types import ServiceName, TargetId
from mothshunt.discovery.model import Target
from mothshunt.limits.model import Permit


class Outcome(Enum):
    """Outcome of an attempt at a target."""

    ANSWERED = "answered"
    ERROR_ANSWER = "error_answer"
    SHED = "shed"
    CONNECT_FAILED = "connect_failed"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """Target of one attempt, with the capacity that was reserved for it.

    :param target: The chosen target.
    :param permit: Capacity reserved under the contract's limits.
    :param started_at: Monotonic time of the choice, in seconds.
    """

    target: Target
    permit: Permit
    started_at: float


class TargetChooser(Protocol):
    """Selection of targets that takes the outcomes of earlier attempts into account."""

    def choose(
        self,
        *,
        contract: Contract,
        service: ServiceName,
        idempotent: bool,
        excluded: AbstractSet[TargetId],
        now: float,
    ) -> Result[Choice, Failure]:
        """Choose a target and reserve capacity for one attempt.

        :param contract: Contract in force of the customer.
        :param service: Service that the request is for.
        :param idempotent: Whether the request may be repeated.
        :param excluded: Targets that must not be chosen.
        :param now: Monotonic time, in seconds.
        :return: The choice, or a failure with a retry-after time.
        """
        ...

    def finish(self, choice: Choice, outcome: Outcome, now: float) -> None:
        """Release the capacity of an attempt and record its outcome.

        :param choice: What ``choose`` returned; each choice is finished once.
        :param outcome: How the attempt ended.
        :param now: Monotonic time, in seconds.
        """
        ...
