"""Admission level of a service: the fraction of each urgency that is admitted.

The level is derived from counts over all entry instances, or from those of this one if
none arrive. The capacity follows from the responses and the share of slots in use that
came with them, so it needs neither the number of targets nor the time that work takes.
"""

import itertools
from collections.abc import Mapping
from dataclasses import dataclass, field

from mothshunt.core.types import WorkspaceName
from mothshunt.placement.admission_counts import SHARE_UNITS, ServiceCounts
from mothshunt.placement.fair_share import fair_limit

#: Share of the slots that admitted requests are to use. A little more than all, as
#: targets must not be idle while the level reopens.
TARGET_UTILIZATION = 1.05
#: Mean queue of the targets that the level aims for, as a multiple of their slots.
TARGET_QUEUE = 0.5
#: Largest change of the correction for the queue, for each update.
QUEUE_CORRECTION_STEP = 0.04
#: Bounds of the correction. It balances errors of the capacity, such as for kinds whose
#: work takes longer than the mean. Queues at a few targets while others are idle must
#: not close the service: with 0.6 in place of 0.95, the emulator earned 0.06 less.
MIN_QUEUE_CORRECTION = 0.95
MAX_QUEUE_CORRECTION = 1.15
#: Fraction of a less urgent kind that is admitted in any case, as a multiple of that of
#: the most urgent one. A little above the quarter that is guaranteed, because kinds
#: differ in how often targets reject them.
MIN_URGENCY_SHARE = 0.26
#: Largest changes of a fraction for each update. The level closes faster than it
#: reopens: what queues meanwhile is late, and a fast reopening fills the queues again.
MAX_CLOSING_STEP = 0.15
MAX_OPENING_STEP = 0.08
#: Mean queue from which requests of one kind delay those of another, as a multiple of
#: the slots. Below it, rejecting the less urgent would not help the more urgent.
CONTENTION_QUEUE = 0.05
#: Value of a late response as a share of that of one in time, as the mean over kinds.
LATE_VALUE = 0.2
#: Smoothed lead of a less urgent kind, in its share of value and of requests served,
#: above which its fraction is lowered: well below the measures of 0.15 and 0.05, as the
#: shares are known some seconds late.
MAX_VALUE_LEAD = 0.05
MAX_SERVED_LEAD = 0.02
#: Weight of a new update in the smoothed shares.
SHARE_WEIGHT = 0.3
#: Largest changes of the fraction of a kind that leads, for each update.
LEAD_CLOSING_STEP = 0.15
LEAD_OPENING_STEP = 0.05
#: Fractions above this count as full, so that a level that is hardly short rejects
#: nothing.
FULL_FRACTION = 0.97
#: Weight of a new update in the smoothed capacity, demand, queue, and change of a
#: fraction. Demand is not extrapolated: in the emulator, that earned nothing and made
#: the level swing.
CAPACITY_WEIGHT = 0.25
DEMAND_WEIGHT = 0.35
QUEUE_WEIGHT = 0.5
SLOPE_WEIGHT = 0.3
#: Responses from which a capacity is estimated; fewer say too little.
MIN_ANSWERS = 4
#: Lowest utilization from which a capacity is estimated.
MIN_UTILIZATION = 0.05


def fractions_by_urgency(
    asked_by_urgency: Mapping[int, float], budget: float
) -> dict[int, float]:
    """Return the fraction of each urgency that a budget of requests admits.

    More urgent requests are admitted first; each less urgent one has at least
    ``MIN_URGENCY_SHARE`` of the fraction of the most urgent.

    :param asked_by_urgency: Requests by urgency.
    :param budget: Requests that can be admitted.
    """
    order = [u for u in sorted(asked_by_urgency) if asked_by_urgency[u] > 0]
    fractions = dict.fromkeys(asked_by_urgency, 1.0)
    if not order or budget >= sum(asked_by_urgency.values()):
        return fractions
    first, rest = order[0], order[1:]
    least = asked_by_urgency[first]
    least += MIN_URGENCY_SHARE * sum(asked_by_urgency[u] for u in rest)
    if budget <= least:
        fractions[first] = max(0.0, budget) / least
        for urgency in rest:
            fractions[urgency] = MIN_URGENCY_SHARE * fractions[first]
        return fractions
    left = budget - least
    for urgency in rest:
        added = min(1.0 - MIN_URGENCY_SHARE, left / asked_by_urgency[urgency])
        fractions[urgency] = MIN_URGENCY_SHARE + added
        left -= added * asked_by_urgency[urgency]
    return fractions


@dataclass(slots=True)
class AdmissionLevel:
    """Admission level of one service, which follows the counts in bounded steps.

    :param fraction_by_urgency: Fraction that is admitted; urgencies that are absent are
        admitted fully.
    :param slope_by_urgency: Smoothed change of the fraction for each update.
    :param limit_by_workspace: Fraction of the requests of workspaces that ask for more
        than their fair share.
    :param queue: Smoothed mean queue of the targets, as a multiple of their slots.
    :param capacity: Smoothed requests that the targets can handle in an interval.
    :param demand: Smoothed requests of callers in an interval.
    """

    fraction_by_urgency: dict[int, float] = field(default_factory=dict)
    slope_by_urgency: dict[int, float] = field(default_factory=dict)
    limit_by_workspace: dict[WorkspaceName, float] = field(default_factory=dict)
    queue: float = 0.0
    capacity: float = 0.0
    demand: float = 0.0
    _correction: float = 1.0
    _is_own: bool = False
    _asked_by_urgency: dict[int, float] = field(default_factory=dict)
    _value_by_urgency: dict[int, float] = field(default_factory=dict)
    _served_by_urgency: dict[int, float] = field(default_factory=dict)
    _bound_by_urgency: dict[int, float] = field(default_factory=dict)

    @property
    def is_full(self) -> bool:
        """Whether everything is admitted."""
        return not self.fraction_by_urgency and not self.limit_by_workspace

    def fraction(self, urgency: int) -> float:
        """Return the fraction of an urgency that is admitted.

        :param urgency: The urgency.
        """
        held = self.fraction_by_urgency.get(urgency)
        if held is not None:
            return held
        # An urgency without recent counts has the fraction of the next more urgent one.
        more_urgent = [u for u in self.fraction_by_urgency if u < urgency]
        if not more_urgent:
            return 1.0
        return self.fraction_by_urgency[max(more_urgent)]

    def adjust(self, counts: ServiceCounts, *, is_own: bool) -> None:
        """Move one step towards the level that the counts call for.

        :param counts: Counts of one interval, or of several of this instance.
        :param is_own: Whether they are those of this entry instance only.
        """
        if is_own is not self._is_own:
            # Sums of other sizes can't be smoothed together; the fractions stay.
            self._is_own = is_own
            self.capacity = self.demand = 0.0
            self._asked_by_urgency.clear()
        self._record_demand(counts)
        self._record_load(counts)
        budget = self.capacity * TARGET_UTILIZATION * self._correction
        expected = self._asked_by_urgency
        wanted = (
            fractions_by_urgency(expected, budget)
            if self.capacity > 0
            else dict.fromkeys(expected, 1.0)
        )
        self._record_shares(counts)
        self._bound_leads()
        self._step(self._within_leads(wanted))
        self._limit_workspaces(counts, budget)

    def _record_demand(self, counts: ServiceCounts) -> None:
        seen = {c.urgency: float(c.asked) for c in counts.urgencies}
        held = self._asked_by_urgency
        for urgency in {*seen, *held}:
            asked = seen.get(urgency, 0.0)
            before = held.get(urgency, asked)
            held[urgency] = before + DEMAND_WEIGHT * (asked - before)
        self.demand = sum(held.values())

    def _record_load(self, counts: ServiceCounts) -> None:
        if counts.answered < MIN_ANSWERS:
            return
        units = counts.answered * SHARE_UNITS
        utilization = max(MIN_UTILIZATION, counts.busy / units)
        capacity = counts.answered / utilization
        held = self.capacity or capacity
        self.capacity = held + CAPACITY_WEIGHT * (capacity - held)
        self.queue += QUEUE_WEIGHT * (counts.waiting / units - self.queue)
        error = 1.0 - self.queue / TARGET_QUEUE
        step = QUEUE_CORRECTION_STEP * max(-1.0, min(0.5, error))
        # An idle service says nothing about the errors of the capacity.
        if error < 0 or not self.is_full:
            self._correction += step
        elif self._correction < 1.0:
            self._correction = min(1.0, self._correction + step)
        self._correction = max(
            MIN_QUEUE_CORRECTION, min(MAX_QUEUE_CORRECTION, self._correction)
        )

    def _record_shares(self, counts: ServiceCounts) -> None:
        """Record which share of each urgency was served, and of its value."""
        for urgency, asked, rejected, late in counts.urgencies:
            if asked == 0:
                continue
            served = max(0.0, 1.0 - rejected / asked)
            value = max(0.0, served - (1.0 - LATE_VALUE) * late / asked)
            for held, share in (
                (self._served_by_urgency, served),
                (self._value_by_urgency, value),
            ):
                before = held.get(urgency, share)
                held[urgency] = before + SHARE_WEIGHT * (share - before)

    def _bound_leads(self) -> None:
        """Lower the bound of each urgency that is served better than the one before."""
        order = sorted(self._served_by_urgency)
        for more_urgent, urgency in itertools.pairwise(order):
            served, value = self._served_by_urgency, self._value_by_urgency
            excess = max(
                (served[urgency] - served[more_urgent] - MAX_SERVED_LEAD)
                / MAX_SERVED_LEAD,
                (value[urgency] - value[more_urgent] - MAX_VALUE_LEAD) / MAX_VALUE_LEAD,
            )
            step = LEAD_OPENING_STEP
            if excess > 0:
                # Without contention the less urgent kind takes nothing from the other.
                has_contention = self.queue > CONTENTION_QUEUE
                step = -LEAD_CLOSING_STEP * min(1.0, excess) if has_contention else 0.0
            bound = self._bound_by_urgency.get(urgency, 1.0) + step
            self._bound_by_urgency[urgency] = max(MIN_URGENCY_SHARE, min(1.0, bound))

    def _within_leads(self, wanted: Mapping[int, float]) -> dict[int, float]:
        bounds = self._bound_by_urgency
        return {u: min(f, bounds.get(u, 1.0)) for u, f in wanted.items()}

    def _step(self, wanted: Mapping[int, float]) -> None:
        held = self.fraction_by_urgency
        fractions: dict[int, float] = {}
        slopes: dict[int, float] = {}
        for urgency, fraction in wanted.items():
            before = held.get(urgency, 1.0)
            moved = max(-MAX_CLOSING_STEP, min(MAX_OPENING_STEP, fraction - before))
            fractions[urgency] = before + moved
            slope = self.slope_by_urgency.get(urgency, 0.0)
            slopes[urgency] = slope + SLOPE_WEIGHT * (moved - slope)
        self.slope_by_urgency = slopes
        is_full = all(fraction >= FULL_FRACTION for fraction in fractions.values())
        self.fraction_by_urgency = {} if is_full else fractions

    def _limit_workspaces(self, counts: ServiceCounts, budget: float) -> None:
        if not counts.workspaces or not self.fraction_by_urgency:
            self.limit_by_workspace = {}
            return
        asked = {name: float(n) for name, n in counts.workspaces}
        limit = fair_limit(asked, counts.unnamed, counts.unnamed_count, budget)
        held = self.limit_by_workspace
        limits: dict[WorkspaceName, float] = {}
        for name, count in asked.items():
            before = held.get(name, 1.0)
            wanted = min(1.0, limit / count) if count > 0 else 1.0
            moved = max(-MAX_CLOSING_STEP, min(MAX_OPENING_STEP, wanted - before))
            if before + moved < FULL_FRACTION:
                limits[name] = before + moved
        self.limit_by_workspace = limits
