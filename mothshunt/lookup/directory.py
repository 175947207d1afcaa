"""Look-ups by the region and zone that the caller states, in routed deployments."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from expression import Error, Ok, Result

from mothshunt.core.codes import Failure
from mothshunt.core.types import AvailabilityZoneId, RegionId
from mothshunt.helpers import log
from mothshunt.lookup import codes
from mothshunt.lookup.const import (
    METRIC_LOOKUPS,
    RETRY_AFTER_S,
    UNANSWERED_LOG_INTERVAL_S,
)
from mothshunt.lookup.log_events import LookupsUnanswered
from mothshunt.lookup.nearest import answer_lifetime_s, nearest_entries
from mothshunt.membership.roster_messages import EntryRow, ReadyEntry
from mothshunt.metrics.registry import Metrics


class EntrySource(Protocol):
    """Source of the entry instances that accept requests."""

    def ready_entries(self, now: float) -> Sequence[ReadyEntry]:
        """Return the entry instances that accept requests, sorted by name.

        :param now: Monotonic time, in seconds.
        """
        ...

    def known_entry_count(self) -> int:
        """Return the number of known entry instances, ready or not."""
        ...


@dataclass(frozen=True, slots=True)
class LookupAnswer:
    """Answer to a look-up.

    :param entries: Entry instances to use, at least one.
    :param lifetime_s: Time for which the caller may cache the answer, in seconds.
    """

    entries: tuple[EntryRow, ...]
    lifetime_s: float


@dataclass(slots=True, eq=False)
class EntryLookup:
    """Look-ups by region and availability zone, with log lines on unanswered ones.

    :param source: Source of the entry instances that accept requests.
    :param max_lifetime_s: Longest lifetime of an answer, in seconds.
    :param metrics: Metrics that count the look-ups by outcome.
    """

    source: EntrySource
    max_lifetime_s: float
    metrics: Metrics
    _unanswered_count: int = 0
    _logged_at: float | None = None

    def find(
        self, region: RegionId, zone: AvailabilityZoneId, now: float
    ) -> Result[LookupAnswer, Failure]:
        """Return the nearest entry instances for a caller.

        :param region: Region of the caller.
        :param zone: Availability zone of the caller.
        :param now: Monotonic time, in seconds.
        :return: The answer, or a failure if no entry instance accepts requests.
        """
        entries = nearest_entries(self.source.ready_entries(now), region, zone)
        if entries:
            if self._unanswered_count > 0:
                self._log_unanswered(region, zone, now)
            self.metrics.count(METRIC_LOOKUPS, outcome="answered")
            lifetime_s = answer_lifetime_s(entries, self.max_lifetime_s, now)
            rows = tuple(entry.row for entry in entries)
            return Ok(LookupAnswer(rows, lifetime_s))
        self.metrics.count(METRIC_LOOKUPS, outcome="none")
        self._unanswered_count += 1
        if (
            self._logged_at is None
            or now - self._logged_at >= UNANSWERED_LOG_INTERVAL_S
        ):
            self._log_unanswered(region, zone, now)
        return Error(Failure(code=codes.NO_ENTRY, retry_after_s=RETRY_AFTER_S))

    def _log_unanswered(
        self, region: RegionId, zone: AvailabilityZoneId, now: float
    ) -> None:
        """Log the number of look-ups without an answer since the last such line."""
        log.write(
            LookupsUnanswered(
                region=region,
                availability_zone=zone,
                unanswered=self._unanswered_count,
                known=self.source.known_entry_count(),
            )
        )
        self._logged_at = now
        self._unanswered_count = 0
