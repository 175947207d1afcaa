"""Decision whether an entry instance shares what it learns of the loads of targets."""

from dataclasses import dataclass, field

from mothshunt.core.types import ServiceName
from mothshunt.load_sharing import const
from mothshunt.placement.model import ReportedLoad


@dataclass(slots=True)
class SharingCondition:
    """Condition on which loads are shared.

    An instance that is one of dozens sees few responses of each target. Where the
    machines of the targets are slow at times, its figures say too little. While
    requests wait at such targets, they say too little in smaller deployments too:
    queues last longer than the figures, and a request that is sent to a full target in
    the belief that it is idle is rejected or late.

    Without slow machines queues alone don't count: there more requests were rejected
    with shared loads than without.

    :param has_slowdowns: Whether a target reported that its machine is slow.
    """

    has_slowdowns: bool = False
    _queue_by_service: dict[ServiceName, float] = field(default_factory=dict)
    _long_queue_at: float = float("-inf")

    def record(self, service: ServiceName, reported: ReportedLoad, now: float) -> None:
        """Record the load that a target reported.

        :param service: Service of the target.
        :param reported: The load.
        :param now: The present time, in seconds.
        """
        if reported.slowdown != 1.0:
            self.has_slowdowns = True
        held = self._queue_by_service.get(service, 0.0)
        queue = reported.waiting / max(1, reported.slots)
        mean = held + const.QUEUE_WEIGHT * (queue - held)
        self._queue_by_service[service] = mean
        if mean >= const.LONG_QUEUE:
            self._long_queue_at = now

    def has_queues(self, now: float) -> bool:
        """Whether requests have waited at the targets of a service lately.

        :param now: The present time, in seconds.
        """
        return now - self._long_queue_at < const.LONG_QUEUE_LIFETIME_S

    def is_met(self, entries: int, now: float, *, is_active: bool) -> bool:
        """Whether loads are to be shared.

        :param entries: Number of entry instances.
        :param now: The present time, in seconds.
        :param is_active: Whether they are shared at present.
        """
        if self.has_queues(now):
            enough = const.MIN_ENTRIES_WITH_QUEUES
        elif is_active:
            enough = const.MIN_ENTRIES_TO_STAY
        else:
            enough = const.MIN_ENTRIES
        return self.has_slowdowns and entries >= enough
