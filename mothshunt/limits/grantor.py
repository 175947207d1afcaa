"""Shares as the leader of the control instances grants them."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from expression import Error, Ok, Result

from mothshunt.configuration.model import Configuration
from mothshunt.core.codes import Failure
from mothshunt.core.types import CustomerId, Incarnation, InstanceId, Role, Term
from mothshunt.limits import codes
from mothshunt.limits.allocation import ShiftLevel, Wish, divide, trim_shifted
from mothshunt.limits.const import LEASE_S
from mothshunt.limits.messages import Grant, GrantedShare, Holding, Renewal
from mothshunt.limits.model import LimitKey, LimitKind
from mothshunt.limits.shares import (
    limit_by_key,
    longest_timeout_s,
    static_share,
    static_total,
)

#: Hold-back for a customer whose contract was removed; the longest that a contract
#: can ask for, in seconds.
LONGEST_TIMEOUT_S = 120.0


@dataclass(slots=True)
class _HolderRecord:
    """Remember what one incarnation of a holder may use until when."""

    holder: InstanceId
    incarnation: Incarnation
    sequence: int
    lease_end: float
    current: bool = True
    holding_by_key: dict[LimitKey, Holding] = field(default_factory=dict)
    outstanding_by_key: dict[LimitKey, int] = field(default_factory=dict)


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
        self._record_by_holder: dict[InstanceId, _HolderRecord] = {}
        self._former: list[_HolderRecord] = []
        self._shift_level_by_key: dict[LimitKey, ShiftLevel] = {}
        self._configuration = Configuration()
        self._limit_by_key = limit_by_key(self._configuration)
        self._timeout_by_customer: dict[CustomerId, float] = {}

    def configure(self, configuration: Configuration) -> None:
        """Take over the limits in force.

        :param configuration: Configuration in force at this instance.
        """
        if configuration is self._configuration:
            return
        self._configuration = configuration
        self._limit_by_key = limit_by_key(configuration)
        self._timeout_by_customer = {
            customer: longest_timeout_s(contract)
            for customer, contract in configuration.contract_by_customer.items()
        }

    def grant(self, renewal: Renewal, now: float) -> Result[Grant, Failure]:
        """Answer one renewal.

        The caller has confirmed its leadership in this term in a round that began
        after the renewal came in.

        :param renewal: What the holder reports and wants.
        :param now: Monotonic time, in seconds.
        """
        self._expire(now)
        refusal = self._refusal(renewal)
        if refusal is not None:
            return Error(refusal)
        record = self._take_report(renewal)
        share_by_key = {
            item.key: self._share(record, item, now) for item in renewal.holdings
        }
        instance = self._configuration.instance_by_id[renewal.holder]
        trim_shifted(share_by_key, instance.region)
        for holding in renewal.holdings:
            share = share_by_key[holding.key]
            record.outstanding_by_key[holding.key] = max(_floor(holding), share)
        record.lease_end = now + LEASE_S
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
        return sum(
            record.outstanding_by_key.get(key, 0) for record in self._all_records()
        )

    def is_recovered(self, now: float) -> bool:
        """Tell whether all that earlier leaders granted is known or has ended.

        :param now: Monotonic time, in seconds.
        """
        longest = max(self._timeout_by_customer.values(), default=LONGEST_TIMEOUT_S)
        if now >= self._began_at + LEASE_S + longest:
            return True
        return all(
            record.id in self._record_by_holder
            for record in self._configuration.instance_by_id.values()
            if Role.ENTRY in record.roles
        )

    def _refusal(self, renewal: Renewal) -> Failure | None:
        if renewal.revision > self._configuration.revision:
            return Failure(code=codes.BEHIND)
        instance = self._configuration.instance_by_id.get(renewal.holder)
        if instance is None or Role.ENTRY not in instance.roles:
            return Failure(code=codes.UNKNOWN_HOLDER, detail=renewal.holder)
        known = self._record_by_holder.get(renewal.holder)
        if known is None:
            return None
        number = (renewal.incarnation, renewal.sequence)
        if number <= (known.incarnation, known.sequence):
            return Failure(code=codes.STALE_RENEWAL, detail=renewal.holder)
        return None

    def _take_report(self, renewal: Renewal) -> _HolderRecord:
        """Replace what is known of the holder by what it reports.

        The holder accepts no answer to an earlier renewal once it has sent this one,
        so its report is all that it may use.
        """
        known = self._record_by_holder.get(renewal.holder)
        lease_end = known.lease_end if known is not None else self._began_at
        if known is not None and known.incarnation != renewal.incarnation:
            # Requests of the former process may still run at targets.
            known.current = False
            self._former.append(known)
        record = _HolderRecord(
            holder=renewal.holder,
            incarnation=renewal.incarnation,
            sequence=renewal.sequence,
            lease_end=lease_end,
            holding_by_key={item.key: item for item in renewal.holdings},
            outstanding_by_key={item.key: _floor(item) for item in renewal.holdings},
        )
        self._record_by_holder[renewal.holder] = record
        return record

    def _share(self, record: _HolderRecord, holding: Holding, now: float) -> int:
        key = holding.key
        limit = self._limit_by_key.get(key)
        if limit is None:
            return 0
        leasable = limit - static_total(key, limit) - self._extra_static(key)
        others = self.outstanding(key) - record.outstanding_by_key[key]
        free = max(0, leasable - others)
        if not self.is_recovered(now):
            return min(holding.held, free)
        if key.kind is LimitKind.SHIFT:
            leasable = min(leasable, self._shift_level(key, now))
            free = max(0, leasable - others)
        return self._fair(record, holding, leasable, free, now)

    def _fair(
        self,
        record: _HolderRecord,
        holding: Holding,
        leasable: int,
        free: int,
        now: float,
    ) -> int:
        """Return a fair part; what a region's own entries want goes first."""
        key = holding.key
        lost = 0
        home: list[Wish] = []
        away: list[Wish] = []
        for item in self._all_records():
            if not item.current or not _is_live(item, record, now):
                lost += item.outstanding_by_key.get(key, 0)
            elif key in item.holding_by_key:
                wishes = item.holding_by_key[key]
                wish = Wish(item.holder, wishes.needed, wishes.wanted)
                (home if self._is_home(item, key) else away).append(wish)
        total = max(0, leasable - lost)
        part = divide(total, home, away, record.holder, int(now // LEASE_S))
        return min(part, free)

    def _is_home(self, record: _HolderRecord, key: LimitKey) -> bool:
        instance = self._configuration.instance_by_id.get(record.holder)
        return instance is not None and instance.region == key.name

    def _extra_static(self, key: LimitKey) -> int:
        """Return static room in use beyond what the present limit reserves.

        A holder that has not applied a lowered limit still uses its old static share.
        """
        limit = self._limit_by_key[key]
        extra = 0
        for record in self._all_records():
            holding = record.holding_by_key.get(key)
            if holding is None:
                continue
            instance = self._configuration.instance_by_id.get(record.holder)
            reserved = static_share(key, limit, instance) if record.current else 0
            extra += max(0, holding.static - reserved)
        return extra

    def _shift_level(self, key: LimitKey, now: float) -> int:
        contract = self._configuration.contract_by_customer[key.customer]
        level = self._shift_level_by_key.get(key)
        if level is None:
            start = max(contract.shift.step, self.outstanding(key))
            level = ShiftLevel(level=start, changed_at=now)
            self._shift_level_by_key[key] = level
        used = sum(
            record.holding_by_key[key].in_use
            for record in self._all_records()
            if key in record.holding_by_key
        )
        return level.update(contract.shift, used, now)

    def _expire(self, now: float) -> None:
        self._former = [item for item in self._former if self._is_held_back(item, now)]
        for record in self._record_by_holder.values():
            if not self._is_held_back(record, now):
                record.outstanding_by_key.clear()
                record.holding_by_key.clear()

    def _is_held_back(self, record: _HolderRecord, now: float) -> bool:
        """Tell whether requests started on a record's shares may still run."""
        customers = {key.customer for key in record.outstanding_by_key}
        timeouts = [
            self._timeout_by_customer.get(customer, LONGEST_TIMEOUT_S)
            for customer in customers
        ]
        return now < record.lease_end + max(timeouts, default=0.0)

    def _all_records(self) -> Iterator[_HolderRecord]:
        yield from self._record_by_holder.values()
        yield from self._former


def _floor(holding: Holding) -> int:
    """Return the leased room that a holder uses whatever it is granted."""
    return max(holding.held, holding.in_use - holding.static, 0)


def _is_live(item: _HolderRecord, asking: _HolderRecord, now: float) -> bool:
    return item is asking or now < item.lease_end
