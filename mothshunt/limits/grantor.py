"""Shares as the leader of the control instances grants them."""

from expression import Error, Ok, Result

from mothshunt.configuration.model import Configuration
from mothshunt.core.codes import Failure
from mothshunt.core.types import Role, Term
from mothshunt.limits import codes
from mothshunt.limits.allocation import Draw, ShiftLevel, divide, trim_shifted
from mothshunt.limits.const import LEASE_S
from mothshunt.limits.messages import Grant, GrantedShare, Holding, Renewal
from mothshunt.limits.model import LimitKey, LimitKind
from mothshunt.limits.records import HolderRecord, HolderRecords
from mothshunt.limits.shares import static_total


class Grantor:
    """Grant shares that never add up to more than a limit.

    The memory of a grantor lasts one term. A new leader learns from renewals what
    is held; until it knows of every holder, it renews but lets nothing grow.

    :param term: Term of the leader.
    :param began_at: Monotonic time at which leadership in the term was confirmed.
    """

    def __init__(self, term: Term, began_at: float) -> None:
        self.term = term
        self._began_at = began_at
        self._recovered = False
        self._records = HolderRecords(began_at)
        self._shift_level_by_key: dict[LimitKey, ShiftLevel] = {}
        self._configuration = Configuration()

    def configure(self, configuration: Configuration) -> None:
        """Take over the limits in force.

        :param configuration: Configuration in force at this instance.
        """
        if configuration is not self._configuration:
            self._configuration = configuration
            self._records.configure(configuration)

    def grant(self, renewal: Renewal, now: float) -> Result[Grant, Failure]:
        """Answer one renewal.

        The caller has confirmed its leadership in this term in a round that began
        after the renewal came in.

        :param renewal: What the holder reports and wants.
        :param now: Monotonic time, in seconds.
        """
        self._records.expire(now)
        refusal = self._refusal(renewal)
        if refusal is not None:
            return Error(refusal)
        instance = self._configuration.instance_by_id[renewal.holder]
        record = self._records.take_report(renewal, instance.region)
        self._recovered = self._recovered or self._is_recovered(now)
        share_by_key = {
            item.key: self._share(record, item, now) for item in renewal.holdings
        }
        trim_shifted(share_by_key, instance.region)
        self._records.set_lease(record, share_by_key, now + LEASE_S)
        return Ok(
            Grant(
                sequence=renewal.sequence,
                term=self.term,
                lease_s=LEASE_S,
                shares=tuple(
                    GrantedShare(key=key, share=share)
                    for key, share in share_by_key.items()
                ),
            )
        )

    def outstanding(self, key: LimitKey) -> int:
        """Return the leased room that may be in use anywhere, in requests.

        :param key: The limit.
        """
        return self._records.tally(key).outstanding

    def _is_recovered(self, now: float) -> bool:
        """Tell whether all that earlier leaders granted is known or has ended."""
        if now >= self._began_at + LEASE_S + self._records.longest_timeout_s():
            return True
        return all(
            self._records.find(instance.id) is not None
            for instance in self._configuration.instance_by_id.values()
            if Role.ENTRY in instance.roles
        )

    def _refusal(self, renewal: Renewal) -> Failure | None:
        if renewal.revision > self._configuration.revision:
            return Failure(code=codes.BEHIND)
        instance = self._configuration.instance_by_id.get(renewal.holder)
        if instance is None or Role.ENTRY not in instance.roles:
            return Failure(code=codes.UNKNOWN_HOLDER, detail=renewal.holder)
        known = self._records.find(renewal.holder)
        if known is None:
            return None
        number = (renewal.incarnation, renewal.sequence)
        if number <= (known.incarnation, known.sequence):
            return Failure(code=codes.STALE_RENEWAL, detail=renewal.holder)
        return None

    def _share(self, record: HolderRecord, holding: Holding, now: float) -> int:
        key = holding.key
        limit = self._records.limit_by_key.get(key)
        if limit is None:
            return 0
        tally = self._records.tally(key)
        total = limit - static_total(key, limit) - tally.extra_static
        if key.kind is LimitKind.SHIFT and self._recovered:
            total = min(total, self._shift_level(key, now))
        others = tally.outstanding - record.outstanding_by_key[key]
        free = max(0, total - others)
        if not self._recovered:
            return min(holding.held, free)
        draw = Draw(record.holder, int(now // LEASE_S))
        part = divide(max(0, total), tally, holding, record.is_home(key), draw)
        return min(part, free)

    def _shift_level(self, key: LimitKey, now: float) -> int:
        shift = self._configuration.contract_by_customer[key.customer].shift
        tally = self._records.tally(key)
        level = self._shift_level_by_key.get(key)
        if level is None:
            start = max(shift.step, tally.outstanding)
            level = ShiftLevel(level=start, changed_at=now)
            self._shift_level_by_key[key] = level
        return level.update(shift, tally.used, now)
