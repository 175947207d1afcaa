"""Records that the leader keeps of the holders of shares."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from mothshunt.configuration.model import Configuration
from mothshunt.core.types import CustomerId, Incarnation, InstanceId, RegionId
from mothshunt.limits.messages import Holding, Renewal
from mothshunt.limits.model import LimitKey
from mothshunt.limits.shares import limit_by_key, max_request_timeout_s, static_share
from mothshunt.limits.tally import LimitTotals

#: Longest request timeout that a contract can set, in seconds; applies to customers
#: whose contract was removed.
_MAX_REQUEST_TIMEOUT_S = 120.0


@dataclass(slots=True, eq=False)
class HolderRecord:
    """Shares that one incarnation of a holder may use, and the end of its lease."""

    holder: InstanceId
    incarnation: Incarnation
    sequence: int
    region: RegionId
    lease_end: float
    #: Whether a later incarnation of the holder has reported.
    is_previous_incarnation: bool = False
    #: Whether a later report of the same incarnation replaced this record.
    is_replaced: bool = False
    #: Whether the holder's demand counts: until its lease ends or a later
    #: incarnation reports.
    has_demand: bool = True
    holding_by_key: dict[LimitKey, Holding] = field(default_factory=dict)
    outstanding_by_key: dict[LimitKey, int] = field(default_factory=dict)
    #: Static share beyond the reserve, as last added to the totals.
    excess_static_by_key: dict[LimitKey, int] = field(default_factory=dict)

    def is_home_region(self, key: LimitKey) -> bool:
        """Whether a limit is the capacity of the region of the holder.

        :param key: The limit.
        """
        return self.region == key.name


class HolderRecords:
    """Records of all holders, and the totals over them.

    :param leader_since: Monotonic time at which leadership began, in seconds.
    """

    def __init__(self, leader_since: float) -> None:
        self.limit_by_key = limit_by_key(Configuration())
        self._leader_since = leader_since
        self._configuration = Configuration()
        self._timeout_by_customer: dict[CustomerId, float] = {}
        self._record_by_holder: dict[InstanceId, HolderRecord] = {}
        self._totals_by_key: dict[LimitKey, LimitTotals] = {}
        # Ordered by the end of the lease: each grant sets a later one than all before.
        self._leases: deque[tuple[float, HolderRecord]] = deque()
        self._expired: list[HolderRecord] = []

    def configure(self, configuration: Configuration) -> None:
        """Apply the limits of a configuration and recompute the totals.

        :param configuration: Configuration in force at this instance.
        """
        self._configuration = configuration
        self.limit_by_key = limit_by_key(configuration)
        self._timeout_by_customer = {
            customer: max_request_timeout_s(contract)
            for customer, contract in configuration.contract_by_customer.items()
        }
        self._totals_by_key.clear()
        for record in self._all_records():
            self._add_to_totals(record, 1)

    def totals(self, key: LimitKey) -> LimitTotals:
        """Return the totals over the holders of a limit.

        :param key: The limit.
        """
        return self._totals_by_key.setdefault(key, LimitTotals())

    def find(self, holder: InstanceId) -> HolderRecord | None:
        """Return the record of a holder that has reported in this term.

        :param holder: Name of the instance.
        """
        return self._record_by_holder.get(holder)

    def max_request_timeout_s(self) -> float:
        """Return the longest timeout of any request, in seconds."""
        return max(self._timeout_by_customer.values(), default=_MAX_REQUEST_TIMEOUT_S)

    def record_report(self, renewal: Renewal, region: RegionId) -> HolderRecord:
        """Replace the record of a holder by one made from its latest report.

        Once the holder has sent a renewal, it accepts no answer to an earlier one.
        It may therefore use no shares beyond those in the report.

        :param renewal: Renewal that holds the report.
        :param region: Region of the holder.
        """
        known = self._record_by_holder.get(renewal.holder)
        lease_end = self._leader_since
        if known is not None:
            lease_end = known.lease_end
            self._replace(known, renewal.incarnation)
        record = HolderRecord(
            holder=renewal.holder,
            incarnation=renewal.incarnation,
            sequence=renewal.sequence,
            region=region,
            lease_end=lease_end,
            holding_by_key={item.key: item for item in renewal.holdings},
            outstanding_by_key={
                item.key: min_outstanding(item) for item in renewal.holdings
            },
        )
        self._record_by_holder[renewal.holder] = record
        self._add_to_totals(record, 1)
        return record

    def set_lease(
        self, record: HolderRecord, share_by_key: dict[LimitKey, int], lease_end: float
    ) -> None:
        """Add granted shares to a record and extend its lease.

        :param record: Record of the holder.
        :param share_by_key: Its shares.
        :param lease_end: Monotonic time at which the lease ends, in seconds.
        """
        for key, share in share_by_key.items():
            before = record.outstanding_by_key.get(key, 0)
            after = max(before, share)
            record.outstanding_by_key[key] = after
            self.totals(key).outstanding += after - before
        record.lease_end = lease_end
        self._leases.append((lease_end, record))

    def expire(self, now: float) -> None:
        """Remove the demand of ended leases, and shares whose requests have ended.

        :param now: Monotonic time, in seconds.
        """
        while self._leases and self._leases[0][0] <= now:
            _, record = self._leases.popleft()
            if record.has_demand and not record.is_replaced:
                self._mark_expired(record)
        if self._expired:
            self._expired = [
                item for item in self._expired if self._drop_ended_shares(item, now)
            ]

    def _replace(self, known: HolderRecord, incarnation: Incarnation) -> None:
        if known.incarnation == incarnation:
            self._add_to_totals(known, -1)
            known.is_replaced = True
            if known in self._expired:
                self._expired.remove(known)
            return
        # Requests of the previous process may still run at targets.
        self._add_to_totals(known, -1)
        known.is_previous_incarnation = True
        self._add_to_totals(known, 1)
        if known.has_demand:
            self._mark_expired(known)

    def _mark_expired(self, record: HolderRecord) -> None:
        self._add_to_totals(record, -1)
        record.has_demand = False
        self._add_to_totals(record, 1)
        self._expired.append(record)

    def _drop_ended_shares(self, record: HolderRecord, now: float) -> bool:
        """Drop shares whose requests must have ended; return whether any are left."""
        for key in list(record.outstanding_by_key):
            timeout_s = self._timeout_by_customer.get(
                key.customer, _MAX_REQUEST_TIMEOUT_S
            )
            if now < record.lease_end + timeout_s:
                continue
            self._add_key_to_totals(record, key, -1)
            del record.outstanding_by_key[key]
        return bool(record.outstanding_by_key)

    def _add_to_totals(self, record: HolderRecord, sign: int) -> None:
        for key in record.outstanding_by_key:
            self._add_key_to_totals(record, key, sign)

    def _add_key_to_totals(
        self, record: HolderRecord, key: LimitKey, sign: int
    ) -> None:
        totals = self.totals(key)
        holding = record.holding_by_key[key]
        totals.outstanding += sign * record.outstanding_by_key[key]
        totals.in_use += sign * holding.in_use
        if sign > 0:
            record.excess_static_by_key[key] = self._excess_static(record, holding)
        totals.excess_static += sign * record.excess_static_by_key[key]
        if record.has_demand:
            totals.add_demand(holding, record.is_home_region(key), sign)

    def _excess_static(self, record: HolderRecord, holding: Holding) -> int:
        """Return the static share in use beyond what the present limit reserves.

        A holder that has not applied a lowered limit still uses its old static
        share. A previous process may still use the static share that is now reserved
        for its successor.
        """
        limit = self.limit_by_key.get(holding.key, 0)
        instance = self._configuration.instance_by_id.get(record.holder)
        reserved = (
            0
            if record.is_previous_incarnation
            else static_share(holding.key, limit, instance)
        )
        return max(0, holding.static - reserved)

    def _all_records(self) -> Iterator[HolderRecord]:
        yield from self._record_by_holder.values()
        yield from (
            record for record in self._expired if record.is_previous_incarnation
        )


def min_outstanding(holding: Holding) -> int:
    """Return the leased share that a holder may use whatever it is granted.

    :param holding: Report of the holder.
    """
    return max(holding.held, holding.in_use - holding.static, 0)
