"""Choice of a target as the dispatch slice uses it."""

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
    """How an attempt at a target ended."""

    ANSWERED = "answered"
    ERROR_ANSWER = "error_answer"
    SHED = "shed"
    CONNECT_FAILED = "connect_failed"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """Name the target of one attempt, with the room that was taken for it.

    :param target: The chosen target.
    :param permit: Room taken under the contract's limits.
    :param started_at: Monotonic time of the choice, in seconds.
    """

    target: Target
    permit: Permit
    started_at: float


class TargetChooser(Protocol):
    """Choose targets and learn from what became of each attempt."""

    def choose(
        self,
        *,
        contract: Contract,
        service: ServiceName,
        idempotent: bool,
        excluded: AbstractSet[TargetId],
        now: float,
    ) -> Result[Choice, Failure]:
        """Choose a target and take the room for one attempt.

        :param contract: Contract in force of the customer.
        :param service: Service that is asked for.
        :param idempotent: Whether the request may be repeated.
        :param excluded: Targets that must not be chosen.
        :param now: Monotonic time, in seconds.
        :return: The choice; or a failure that says when to come back.
        """
        ...

    def finish(self, choice: Choice, outcome: Outcome, now: float) -> None:
        """Give the room back and learn from the outcome.

        :param choice: What ``choose`` returned; finished once.
        :param outcome: How the attempt ended.
        :param now: Monotonic time, in seconds.
        """
        ...
