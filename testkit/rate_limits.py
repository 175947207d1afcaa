"""Rate limits that targets named, and the requests that came all the same."""

from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import pairwise

from testkit.soak.history import Sent
from testkit.soak.notices import HadFault, Life

RATE_LIMIT_HEADER = "Mothshunt-Rate-Limit"
#: In any window of this length, in seconds, ...
WINDOW_S = 4.0
#: ... a target gets at most this multiple of what its limit allows, ...
ALLOWED_FACTOR = 1.5
#: ... and this number of requests besides.
ALLOWED_SLACK = 5
#: An entry instance is held to a limit this long after it has passed on a response that
#: names it, in seconds.
TOLD_FOR_S = 0.5
#: The bound holds from this time after a target first named its limit, in seconds.
STABILITY_S = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitChange:
    """Change of the limit that a target names.

    :param at: Time of the change, in seconds.
    :param per_s: The limit from then on, in requests a second; ``None`` for none.
    """

    at: float
    per_s: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """Request that came to a target.

    :param request_id: The request.
    :param at: Time at which it came, in seconds.
    """

    request_id: str
    at: float


@dataclass(kw_only=True, slots=True)
class RateLimitHistory:
    """Limits that targets named and the requests that came, all by one clock.

    :param changes_by_life: Changes of the limit of each target, in order.
    :param arrivals_by_life: Requests that came to each target, in order.
    :param naming_by_life: Those that were answered with a limit.
    """

    changes_by_life: dict[Life, list[LimitChange]] = field(
        default_factory=lambda: defaultdict(list)
    )
    arrivals_by_life: dict[Life, list[Arrival]] = field(
        default_factory=lambda: defaultdict(list)
    )
    naming_by_life: dict[Life, list[str]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def set_limit(self, life: Life, per_s: float | None, now: float) -> None:
        """Record that a target names another limit from now on.

        :param life: The target.
        :param per_s: The limit, in requests a second; ``None`` for none.
        :param now: The present time, in seconds.
        """
        self.changes_by_life[life].append(LimitChange(at=now, per_s=per_s))

    def limit(self, life: Life) -> float | None:
        """Return the limit that a target names, in requests a second.

        :param life: The target.
        """
        changes = self.changes_by_life.get(life)
        return changes[-1].per_s if changes else None

    def record_arrival(self, life: Life, request_id: str, now: float) -> None:
        """Record a request that came to a target.

        :param life: The target.
        :param request_id: The request.
        :param now: The present time, in seconds.
        """
        self.arrivals_by_life[life].append(Arrival(request_id=request_id, at=now))

    def response_headers(self, life: Life, request_id: str) -> dict[str, str]:
        """Return the header fields by which a response names the present limit.

        :param life: The target.
        :param request_id: The request that it responds to.
        """
        per_s = self.limit(life)
        if per_s is None:
            return {}
        self.naming_by_life[life].append(request_id)
        return {RATE_LIMIT_HEADER: f"{per_s:g}"}

    def violations(
        self, sent_by_id: Mapping[str, Sent], had_fault: HadFault, lag_s: float
    ) -> Iterator[str]:
        """Return the targets that got more than their limit allows, a line each.

        The bound holds for the sum over the entry instances that have passed on a
        response with the limit.

        :param sent_by_id: Requests as their callers saw them.
        :param had_fault: Tells of restarts, freezes and cuts, which excuse an instance.
        :param lag_s: Longest time for which the test itself did not run, in seconds.
        """
        for life in self.changes_by_life:
            told_at_by_entry = self._told_at_by_entry(life, sent_by_id)
            worst = max(
                self._windows(life, told_at_by_entry, sent_by_id, had_fault, lag_s),
                default=None,
            )
            if worst is not None and worst[0] > 0:
                _, at, count, allowed = worst
                yield (
                    f"LIMIT {life}: {count} requests in {WINDOW_S} s up to {at:.2f} s,"
                    f" {allowed:.1f} allowed"
                )

    def judged(self, sent_by_id: Mapping[str, Sent], had_fault: HadFault) -> int:
        """Return the number of windows with requests that the bound was held against.

        :param sent_by_id: Requests as their callers saw them.
        :param had_fault: Tells of restarts, freezes and cuts, which excuse an instance.
        """
        return sum(
            count > 0
            for life in self.changes_by_life
            for _, _, count, _ in self._windows(
                life, self._told_at_by_entry(life, sent_by_id), sent_by_id, had_fault, 0
            )
        )

    def _told_at_by_entry(
        self, life: Life, sent_by_id: Mapping[str, Sent]
    ) -> dict[str, list[float]]:
        """Return when each entry instance passed on responses with a limit."""
        told_at_by_entry: dict[str, list[float]] = defaultdict(list)
        for request_id in self.naming_by_life.get(life, ()):
            sent = sent_by_id.get(request_id)
            if sent is not None and sent.status:
                told_at_by_entry[sent.entry].append(sent.ended_at)
        return told_at_by_entry

    def _windows(
        self,
        life: Life,
        told_at_by_entry: Mapping[str, Sequence[float]],
        sent_by_id: Mapping[str, Sent],
        had_fault: HadFault,
        lag_s: float,
    ) -> Iterator[tuple[float, float, int, float]]:
        """Return each judged window: excess, end, number of requests and bound."""
        arrivals = self.arrivals_by_life.get(life, [])
        for last in arrivals:
            allowed = self._allowed(life, last.at)
            if allowed is None:
                continue
            named_since = self._named_since(life, last.at)
            told_before = last.at - TOLD_FOR_S - lag_s
            count_by_entry = Counter(
                sent_by_id[arrival.request_id].entry
                for arrival in arrivals
                if last.at - WINDOW_S < arrival.at <= last.at
                and arrival.request_id in sent_by_id
            )
            count = 0
            for entry, requests in count_by_entry.items():
                told_at = max(
                    (
                        at
                        for at in told_at_by_entry.get(entry, ())
                        if named_since <= at <= told_before
                    ),
                    default=None,
                )
                if told_at is not None and not had_fault(
                    entry, min(told_at, last.at - WINDOW_S), last.at
                ):
                    count += requests
            yield (count - allowed, last.at, count, allowed)

    def _named_since(self, life: Life, at: float) -> float:
        """Return since when a target has named a limit without a break."""
        since = float("inf")
        for change in self.changes_by_life[life]:
            if change.at > at:
                break
            since = float("inf") if change.per_s is None else min(since, change.at)
        return since

    def _allowed(self, life: Life, at: float) -> float | None:
        """Return how many requests may come in the window up to a time, if bounded.

        While a change is younger than the time in which it must take effect, the
        highest limit counts that was named up to then.
        """
        if at < self._named_since(life, at) + STABILITY_S:
            return None
        changes = [c for c in self.changes_by_life[life] if c.at <= at]
        begin = at - WINDOW_S - STABILITY_S
        named = [c.per_s for c, later in pairwise(changes) if later.at > begin]
        limits = [per_s for per_s in (*named, changes[-1].per_s) if per_s is not None]
        return ALLOWED_FACTOR * max(limits) * WINDOW_S + ALLOWED_SLACK
