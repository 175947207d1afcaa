"""Grant of shares by the leader of the control instances."""

from expression import Error, Ok, Result

from mothshunt.configuration.model import Configuration
from mothshunt.core.codes import Failure
from mothshunt.core.types import Role, Term
from mothshunt.limits import codes
from mothshunt.limits.allocation import (
    HashRounding,
    ShiftRamp,
    allocate,
    trim_cross_region_shares,
)
from mothshunt.limits.const import LEASE_S
from mothshunt.limits.messages import Grant, GrantedShare, Holding, Renewal
from mothshunt.limits.model import LimitKey, LimitKind
from mothshunt.limits.records import HolderRecord, HolderRecords
from mothshunt.limits.shares import static_reserve


class LeaseGrantor:
    """Leader's side of the leases; its grants never add up to more than a limit.

    A grantor serves one term and keeps its records in memory only. A new leader
    learns from renewals which shares are held. Until every holder has sent a renewal,
    or all earlier leases and their requests must have ended, it renews shares but
    increases none.

    :param term: Term of the leader.
    :param leader_since: Monotonic time at which leadership in the term was
        confirmed, in seconds.
    """

    def __init__(self, term: Term, leader_since: float) -> None:
        self.term = term
        self._leader_since = leader_since
        self._knows_all_holders = False
        self._records = HolderRecords(leader_since)
        self._shift_ramp_by_key: dict[LimitKey, ShiftRamp] = {}
        self._configuration = Configuration()

    def configure(self, configuration: Configuration) -> None:
        """Apply the limits in force.

        :param configuration: Configuration in force at this instance.
        """
        if configuration is not self._configuration:
            self._configuration = configuration
            self._records.configure(configuration)

    def grant(self, renewal: Renewal, now: float) -> Result[Grant, Failure]:
        """Return the grant that answers one renewal, or the reason for a refusal.

        The caller has had a majority confirm its leadership in this term, in a round
        that began after the renewal was received.

        :param renewal: The renewal.
        :param now: Monotonic time, in seconds.
        """
        self._records.expire(now)
        refusal = self._refusal_of(renewal)
        if refusal is not None:
            return Error(refusal)
        instance = self._configuration.instance_by_id[renewal.holder]
        record = self._records.record_report(renewal, instance.region)
        self._knows_all_holders = self._knows_all_holders or self._all_holders_known(
            now
        )
        share_by_key = {
            item.key: self._new_share(record, item, now) for item in renewal.holdings
        }
        trim_cross_region_shares(share_by_key, instance.region)
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
        """Return the leased shares that may be in use anywhere, in requests.

        :param key: The limit.
        """
        return self._records.totals(key).outstanding

    def _all_holders_known(self, now: float) -> bool:
        """Whether all shares that earlier leaders granted are known or have ended."""
        if now >= self._leader_since + LEASE_S + self._records.max_request_timeout_s():
            return True
        return all(
            self._records.find(instance.id) is not None
            for instance in self._configuration.instance_by_id.values()
            if Role.ENTRY in instance.roles
        )

    def _refusal_of(self, renewal: Renewal) -> Failure | None:
        if renewal.revision > self._configuration.revision:
            return Failure(code=codes.LEADER_BEHIND)
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

    def _new_share(self, record: HolderRecord, holding: Holding, now: float) -> int:
        key = holding.key
        limit = self._records.limit_by_key.get(key)
        if limit is None:
            return 0
        totals = self._records.totals(key)
        total = limit - static_reserve(key, limit) - totals.excess_static
        if key.kind is LimitKind.SHIFT and self._knows_all_holders:
            total = min(total, self._max_shifted(key, now))
        others = totals.outstanding - record.outstanding_by_key[key]
        free = max(0, total - others)
        if not self._knows_all_holders:
            return min(holding.held, free)
        rounding = HashRounding(record.holder, int(now // LEASE_S))
        share = allocate(
            max(0, total), totals, holding, record.is_home_region(key), rounding
        )
        return min(share, free)

    def _max_shifted(self, key: LimitKey, now: float) -> int:
        shift = self._configuration.contract_by_customer[key.customer].shift
        totals = self._records.totals(key)
        ramp = self._shift_ramp_by_key.get(key)
        if ramp is None:
            start = max(shift.step, totals.outstanding)
            ramp = ShiftRamp(level=start, changed_at=now)
            self._shift_ramp_by_key[key] = ramp
        return ramp.update(shift, totals.in_use, now)
