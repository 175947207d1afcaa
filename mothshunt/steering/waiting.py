"""Requests that wait a moment for room."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from mothshunt.core.types import CustomerId, ServiceName
from mothshunt.steering.const import WAIT_DEADLINE_RATIO, WAIT_S, WAITING_MAX

T = TypeVar("T")


def give_up_at(now: float, deadline: float) -> float:
    """Return when a request that finds no room is refused, in seconds.

    :param now: Monotonic time of its arrival, in seconds.
    :param deadline: Monotonic time by which its caller needs an answer, in seconds.
    """
    return now + min(WAIT_S, (deadline - now) * WAIT_DEADLINE_RATIO)


@dataclass(slots=True)
class _Line(Generic[T]):
    """Hold the waiting requests of one service, commitments apart."""

    commitments: deque[T] = field(default_factory=deque)
    idempotent: deque[T] = field(default_factory=deque)

    def pop(self) -> T | None:
        """Take out the request that is next."""
        if self.commitments:
            return self.commitments.popleft()
        return self.idempotent.popleft() if self.idempotent else None

    def __len__(self) -> int:
        return len(self.commitments) + len(self.idempotent)


class WaitingRoom(Generic[T]):
    """Order waiting requests: first come, first served, commitments before others."""

    def __init__(self) -> None:
        self._line_by_service: dict[tuple[CustomerId, ServiceName], _Line[T]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(
        self, customer: CustomerId, service: ServiceName, idempotent: bool, item: T
    ) -> bool:
        """Let a request wait.

        :param customer: Customer of the service.
        :param service: Service that is asked for.
        :param idempotent: Whether the request may be repeated.
        :param item: What stands for the request.
        :return: ``False`` when too many wait already.
        """
        if self._count >= WAITING_MAX:
            return False
        line = self._line_by_service.setdefault((customer, service), _Line())
        (line.idempotent if idempotent else line.commitments).append(item)
        self._count += 1
        return True

    def discard(
        self, customer: CustomerId, service: ServiceName, idempotent: bool, item: T
    ) -> None:
        """Take out a request that waits no longer; nothing happens when it is gone.

        :param customer: Customer of the service.
        :param service: Service that is asked for.
        :param idempotent: Whether the request may be repeated.
        :param item: What stands for the request.
        """
        line = self._line_by_service.get((customer, service))
        if line is None:
            return
        queue = line.idempotent if idempotent else line.commitments
        if item in queue:
            queue.remove(item)
            self._count -= 1

    def take_next(self, customer: CustomerId, service: ServiceName) -> T | None:
        """Take out the request that room freed by a service goes to.

        :param customer: Customer whose request ended.
        :param service: Service whose request ended; its own line comes first.
        """
        if not self._count:
            return None
        own = self._line_by_service.get((customer, service))
        lines = [own] if own is not None else []
        lines += [
            line
            for (line_customer, _), line in self._line_by_service.items()
            if line_customer == customer and line is not own
        ]
        for line in lines:
            item = line.pop()
            if item is not None:
                self._count -= 1
                return item
        return None

    def take_all(self) -> Iterator[T]:
        """Take out every request, commitments of each service first."""
        for line in self._line_by_service.values():
            while (item := line.pop()) is not None:
                self._count -= 1
                yield item
