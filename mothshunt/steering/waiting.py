"""Queue of the requests that wait briefly for free capacity."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from mothshunt.core.types import CustomerId, ServiceName
from mothshunt.steering.const import (
    MAX_WAIT_DEADLINE_RATIO,
    MAX_WAIT_S,
    MAX_WAITING_REQUESTS,
)

T = TypeVar("T")


def wait_deadline(now: float, deadline: float) -> float:
    """Return the time at which a waiting request is refused, in seconds.

    :param now: Monotonic time at which the request arrived, in seconds.
    :param deadline: Monotonic time by which its caller needs a response, in seconds.
    """
    return now + min(MAX_WAIT_S, (deadline - now) * MAX_WAIT_DEADLINE_RATIO)


@dataclass(slots=True)
class _ServiceQueue(Generic[T]):
    """Waiting requests of one service; the non-idempotent ones are served first."""

    non_idempotent: deque[T] = field(default_factory=deque)
    idempotent: deque[T] = field(default_factory=deque)

    def pop(self) -> T | None:
        """Remove and return the next request, or ``None`` if there is none."""
        if self.non_idempotent:
            return self.non_idempotent.popleft()
        return self.idempotent.popleft() if self.idempotent else None

    def __len__(self) -> int:
        return len(self.non_idempotent) + len(self.idempotent)


class WaitQueue(Generic[T]):
    """Bounded queue of waiting requests, in order of arrival for each service.

    Within a service the non-idempotent requests come before the idempotent ones.
    """

    def __init__(self) -> None:
        self._queue_by_service: dict[
            tuple[CustomerId, ServiceName], _ServiceQueue[T]
        ] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(
        self, customer: CustomerId, service: ServiceName, idempotent: bool, item: T
    ) -> bool:
        """Append a request to the queue of its service.

        :param customer: Customer of the service.
        :param service: Service that the request is for.
        :param idempotent: Whether the request may be repeated.
        :param item: Object that represents the request.
        :return: ``False`` if too many requests wait already.
        """
        if self._count >= MAX_WAITING_REQUESTS:
            return False
        queue = self._queue_by_service.setdefault((customer, service), _ServiceQueue())
        (queue.idempotent if idempotent else queue.non_idempotent).append(item)
        self._count += 1
        return True

    def discard(
        self, customer: CustomerId, service: ServiceName, idempotent: bool, item: T
    ) -> None:
        """Remove a request that no longer waits; does nothing if it is not queued.

        :param customer: Customer of the service.
        :param service: Service that the request is for.
        :param idempotent: Whether the request may be repeated.
        :param item: Object that represents the request.
        """
        queue = self._queue_by_service.get((customer, service))
        if queue is None:
            return
        items = queue.idempotent if idempotent else queue.non_idempotent
        if item in items:
            items.remove(item)
            self._count -= 1

    def pop_next(self, customer: CustomerId, service: ServiceName) -> T | None:
        """Remove and return the request that gets the capacity just freed.

        Only requests of the same customer can use it.

        :param customer: Customer of the request that ended.
        :param service: Service of the request that ended; its queue comes first.
        """
        if not self._count:
            return None
        own = self._queue_by_service.get((customer, service))
        queues = [own] if own is not None else []
        queues += [
            queue
            for (queue_customer, _), queue in self._queue_by_service.items()
            if queue_customer == customer and queue is not own
        ]
        for queue in queues:
            item = queue.pop()
            if item is not None:
                self._count -= 1
                return item
        return None

    def pop_all(self) -> Iterator[T]:
        """Remove and yield all requests, the non-idempotent of each service first."""
        for queue in self._queue_by_service.values():
            while (item := queue.pop()) is not None:
                self._count -= 1
                yield item
