"""What the dispatch slice needs of the other slices."""

from collections.abc import Awaitable, Callable
from collections.abc import Set as AbstractSet
from typing import Protocol

from aiohttp import web
from expression import Result

from mothshunt.contract.model import Contract
from mothshunt.core.codes import Failure
from mothshunt.core.types import ServiceName, TargetId
from mothshunt.steering.model import Choice, Outcome

RouteHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class AsyncTargetChooser(Protocol):
    """Choose targets, waiting a little for room where that helps."""

    async def async_choose(
        self,
        *,
        contract: Contract,
        service: ServiceName,
        idempotent: bool,
        excluded: AbstractSet[TargetId],
        deadline: float,
    ) -> Result[Choice, Failure]:
        """Choose a target and take the room for one attempt.

        :param contract: Contract in force of the customer.
        :param service: Service that is asked for.
        :param idempotent: Whether the request may be repeated.
        :param excluded: Targets that must not be chosen.
        :param deadline: Monotonic time at which the request ends, in seconds.
        :return: The choice; or a failure that says when to come back.
        """
        ...

    def may_dispatch(self, choice: Choice, now: float) -> bool:
        """Tell whether the request may still be sent; asked right before sending.

        :param choice: What ``async_choose`` returned.
        :param now: Monotonic time, in seconds.
        """
        ...

    def finish(self, choice: Choice, outcome: Outcome, now: float) -> None:
        """Give the room back and learn from the outcome.

        :param choice: What ``async_choose`` returned; finished once.
        :param outcome: How the attempt ended.
        :param now: Monotonic time, in seconds.
        """
        ...
