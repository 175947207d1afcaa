"""What entry and control instances tell of the loads of targets, without any I/O."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from mothshunt.load_sharing import const
from mothshunt.load_sharing.messages import (
    DemandRow,
    LoadNews,
    LoadRow,
    LoadsObserved,
    TargetKey,
)

_MS_PER_S = 1000
_PERCENT = 100


@dataclass(frozen=True, slots=True)
class HeldLoad:
    """Load of a target.

    :param requests: Requests that it was handling, and those that waited.
    :param slowdown_percent: Time that work took there, in hundredths of the usual.
    :param observed_at: Time of the response that carried it, in seconds.
    """

    requests: int
    slowdown_percent: int
    observed_at: float

    @classmethod
    def from_row(cls, row: LoadRow, now: float) -> "HeldLoad":
        """Return the load of a row, with a time of this instance's clock.

        :param row: The row.
        :param now: Time at which it was received, in seconds.
        """
        observed_at = now - row.age_ms / _MS_PER_S
        return cls(row.requests, row.slowdown_percent, observed_at)

    def row(self, key: TargetKey, now: float) -> LoadRow:
        """Return the row to send.

        :param key: Key of the target.
        :param now: The present time, in seconds.
        """
        age_s = max(0.0, now - self.observed_at)
        age_ms = min(const.MAX_AGE_MS, round(age_s * _MS_PER_S))
        return LoadRow(key, self.requests, self.slowdown_percent, age_ms)

    @property
    def slowdown(self) -> float:
        """Time that work took there, as a multiple of the usual."""
        return self.slowdown_percent / _PERCENT


@dataclass(slots=True)
class PendingLoads:
    """Newest loads that are still to be sent, at most one of each target.

    When more are pending than a message takes, those that were held back longest go
    first.
    """

    _load_by_key: OrderedDict[TargetKey, HeldLoad] = field(default_factory=OrderedDict)

    def add(self, key: TargetKey, load: HeldLoad) -> None:
        """Add a load, in place of an earlier one of the target.

        :param key: Key of the target.
        :param load: The load.
        """
        self._load_by_key[key] = load
        if len(self._load_by_key) > const.MAX_TARGETS:
            self._load_by_key.popitem(last=False)

    def take_rows(self, now: float) -> tuple[LoadRow, ...]:
        """Return the rows of the next message; they are pending no more.

        :param now: The present time, in seconds.
        """
        rows: list[LoadRow] = []
        while self._load_by_key and len(rows) < const.MAX_ROWS:
            key, load = self._load_by_key.popitem(last=False)
            if now - load.observed_at < const.MAX_AGE_S:
                rows.append(load.row(key, now))
        return tuple(rows)


@dataclass(slots=True)
class LoadObserver:
    """What one entry instance has learned of targets and not told yet."""

    _pending: PendingLoads = field(default_factory=PendingLoads)
    _told_by_key: dict[TargetKey, tuple[int, int]] = field(default_factory=dict)

    def record(
        self, key: TargetKey, requests: int, slots: int, slowdown: float, now: float
    ) -> None:
        """Record the load that a response carried.

        It is told if requests wait, or if it is not what was known: of a target that
        is as busy as before there is nothing to tell.

        :param key: Key of the target.
        :param requests: Requests that it is handling, and those that wait.
        :param slots: Requests that it handles at a time.
        :param slowdown: Time that work takes there, as a multiple of the usual.
        :param now: The present time, in seconds.
        """
        requests = min(const.MAX_REQUESTS, max(0, requests))
        percent = min(const.MAX_SLOWDOWN_PERCENT, max(0, round(slowdown * _PERCENT)))
        known = self._told_by_key.get(key)
        self.record_known(key, requests, percent)
        if requests <= slots and known == (requests, percent):
            return
        self._pending.add(key, HeldLoad(requests, percent, now))

    def record_known(self, key: TargetKey, requests: int, percent: int) -> None:
        """Record what all instances know of a target.

        :param key: Key of the target.
        :param requests: Requests at the target.
        :param percent: Slowdown there, in hundredths.
        """
        if len(self._told_by_key) >= const.MAX_TARGETS:
            self._told_by_key.clear()
        self._told_by_key[key] = (requests, percent)

    def take_message(
        self, first_counts: Iterable[tuple[TargetKey, int]], now: float
    ) -> LoadsObserved | None:
        """Return the next message; ``None`` if there is nothing to tell.

        :param first_counts: Requests since the previous message by the first target of
            their objects.
        :param now: The present time, in seconds.
        """
        rows = self._pending.take_rows(now)
        demand = tuple(
            DemandRow(key, min(count, const.MAX_REQUESTS))
            for key, count in first_counts
        )
        return LoadsObserved(loads=rows, demand=demand) if rows or demand else None


@dataclass(slots=True)
class LoadBoard:
    """Newest loads of all targets at one control instance, and the demand by target."""

    _load_by_key: OrderedDict[TargetKey, HeldLoad] = field(default_factory=OrderedDict)
    _pending: PendingLoads = field(default_factory=PendingLoads)
    _count_by_key: dict[TargetKey, float] = field(default_factory=dict)
    _counted_at: float = 0.0
    _demand_at: float = 0.0

    def record(self, observed: LoadsObserved, now: float) -> None:
        """Record what an entry instance has learned.

        :param observed: Its message.
        :param now: The present time, in seconds.
        """
        for row in observed.loads:
            load = HeldLoad.from_row(row, now)
            held = self._load_by_key.get(row.key)
            if held is not None and held.observed_at >= load.observed_at:
                continue
            self._load_by_key[row.key] = load
            self._load_by_key.move_to_end(row.key)
            if len(self._load_by_key) > const.MAX_TARGETS:
                self._load_by_key.popitem(last=False)
            self._pending.add(row.key, load)
        for key, count in observed.demand:
            if key in self._count_by_key or len(self._count_by_key) < const.MAX_TARGETS:
                self._count_by_key[key] = self._count_by_key.get(key, 0.0) + count

    def take_news(self, now: float) -> LoadNews | None:
        """Return the next message to entry instances; ``None`` if there is no news.

        :param now: The present time, in seconds.
        """
        rows = self._pending.take_rows(now)
        demand: tuple[DemandRow, ...] = ()
        if now - self._demand_at >= const.DEMAND_INTERVAL_S:
            self._demand_at = now
            demand = self._take_demand(now)
        return LoadNews(loads=rows, demand=demand) if rows or demand else None

    def _take_demand(self, now: float) -> tuple[DemandRow, ...]:
        decay = math.exp(-max(0.0, now - self._counted_at) / const.DEMAND_TIME_S)
        self._counted_at = now
        rows = []
        for key, count in list(self._count_by_key.items()):
            rows.append(DemandRow(key, min(const.MAX_REQUESTS, round(count))))
            if count < 0.5:
                del self._count_by_key[key]
            else:
                self._count_by_key[key] = count * decay
        return tuple(rows)
