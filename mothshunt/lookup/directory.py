"""Look-ups of entry instances by the caller's own place, in routed deployments."""

from dataclasses import dataclass

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
from mothshunt.membership.roster import RosterTable
from mothshunt.membership.roster_messages import EntryReport
from mothshunt.metrics.registry import Metrics


@dataclass(frozen=True, slots=True)
class DirectoryAnswer:
    """Tell a caller which entry instances to use.

    :param entries: The entry instances, one at least.
    :param lifetime_s: Time for which the answer may be kept, in seconds.
    """

    entries: tuple[EntryReport, ...]
    lifetime_s: float


@dataclass(slots=True, eq=False)
class EntryDirectory:
    """Tell callers which entry instances to use.

    :param roster: Entry instances that are attached here.
    :param longest_s: Longest time for which an answer may be kept, in seconds.
    :param metrics: Counts the look-ups by outcome.
    """

    roster: RosterTable
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
        entries = nearest_entries(self.roster.ready(), region, zone)
        if entries:
            if self._unanswered > 0:
                self._tell_unanswered(region, zone, now)
            self.metrics.count(METRIC_LOOKUPS, outcome="answered")
            lifetime_s = answer_lifetime_s(entries, self.longest_s, now)
            reports = tuple(standing.report for standing in entries)
            return Ok(DirectoryAnswer(reports, lifetime_s))
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
                known=len(self.roster.standing_by_id),
                attached=len(self.roster.attached()),
            )
        )
        self._told_at = now
        self._unanswered = 0
