"""Interfaces that the dispatch slice requires of other slices."""

from collections.abc import Awaitable, Callable
from collections.abc import Set as AbstractSet
from typing import Protocol

from aiohttp import web
from expression import Result

from mothshunt.contract.model import Contract
from mothshunt.core.codes import Failure
from mothshunt.core.types import ServiceName, TargetId
from mothshunt.steering.model import Choice, Outcome

RequestHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class AsyncTargetChooser(Protocol):
    """Chooser of targets that may wait a short time for a free permit."""

    async def async_choose(
        self,
        *,
        contract: Contract,
        service: ServiceName,
        idempotent: bool,
        excluded: AbstractSet[TargetId],
        deadline: float,
    ) -> Result[Choice, Failure]:
        """Choose a target and take a permit for one attempt.

        :param contract: Contract in force of the customer.
        :param service: Requested service.
        :param idempotent: Whether the request may be repeated.
        :param excluded: Targets that must not be chosen.
        :param deadline: Monotonic time at which the request ends, in seconds.
        :return: The choice; or a failure that says when to retry.
        """
        ...

    def may_dispatch(self, choice: Choice, now: float) -> bool:
        """Whether the request may still be sent; called right before sending.

        :param choice: Return value of ``async_choose``.
        :param now: Monotonic time, in seconds.
        """
        ...

    def finish(self, choice: Choice, outcome: Outcome, now: float) -> None:
        """Release the permit and take the outcome of the attempt into account.

        :param choice: Return value of ``async_choose``; finished exactly once.
        :param outcome: How the attempt ended.
        :param now: Monotonic time, in seconds.
        """
        ...
