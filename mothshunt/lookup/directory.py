"""Look-ups of entry instances by the caller's own place, in routed deployments."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from expression import Error, Ok, Result

from mothshunt.core.codes import Failure
from mothshunt.core.types import AvailabilityZoneId, RegionId
from mothshunt.helpers import log
from mothshunt.helpers.log_events import LookupsUnanswered
from mothshunt.lookup import codes
from mothshunt.lookup.const import (
    METRIC_LOOKUPS,
    RETRY_AFTER_S,
    UNANSWERED_LOG_INTERVAL_S,
)
from mothshunt.lookup.nearest import answer_lifetime_s, nearest_entries
from mothshunt.membership.roster_messages import EntryRow, ReadyEntry
from mothshunt.metrics.registry import Metrics


class EntrySource(Protocol):
    """Know which entry instances take requests."""

    def ready_entries(self, now: float) -> Sequence[ReadyEntry]:
        """Return the entry instances that take requests, sorted by name.

        :param now: Monotonic time, in seconds.
        """
        ...

    def known_entries(self) -> int:
        """Return the number of entry instances that are known, ready or not."""
        ...


@dataclass(frozen=True, slots=True)
class DirectoryAnswer:
    """Tell a caller which entry instances to use.

    :param entries: The entry instances, one at least.
    :param lifetime_s: Time for which the answer may be kept, in seconds.
    """

    entries: tuple[EntryRow, ...]
    lifetime_s: float


@dataclass(slots=True, eq=False)
class EntryDirectory:
    """Tell callers which entry instances to use.

    :param source: Knows which entry instances take requests.
    :param longest_s: Longest time for which an answer may be kept, in seconds.
    :param metrics: Counts the look-ups by outcome.
    """

    source: EntrySource
    longest_s: float
    metrics: Metrics
    _unanswered: int = 0
    _told_at: float | None = None

    def find(
        self, region: RegionId, zone: AvailabilityZoneId, now: float
    ) -> Result[DirectoryAnswer, Failure]:
        """Return the entry instances for a caller, nearest first.

        :param region: Region of the caller.
        :param zone: Availability zone of the caller.
        :param now: Monotonic time, in seconds.
        :return: The answer; a failure where no entry instance takes requests.
        """
        entries = nearest_entries(self.source.ready_entries(now), region, zone)
        if entries:
            if self._unanswered > 0:
                self._tell_unanswered(region, zone, now)
            self.metrics.count(METRIC_LOOKUPS, outcome="answered")
            lifetime_s = answer_lifetime_s(entries, self.longest_s, now)
            rows = tuple(entry.row for entry in entries)
            return Ok(DirectoryAnswer(rows, lifetime_s))
        self.metrics.count(METRIC_LOOKUPS, outcome="none")
        self._unanswered += 1
        if self._told_at is None or now - self._told_at >= UNANSWERED_LOG_INTERVAL_S:
            self._tell_unanswered(region, zone, now)
        return Error(Failure(code=codes.NO_ENTRY, retry_after_s=RETRY_AFTER_S))

    def _tell_unanswered(
        self, region: RegionId, zone: AvailabilityZoneId, now: float
    ) -> None:
        """Log the look-ups that found none since the last line."""
        log.write(
            LookupsUnanswered(
                region=region,
                availability_zone=zone,
                unanswered=self._unanswered,
                known=self.source.known_entries(),
            )
        )
        self._told_at = now
        self._unanswered = 0
