"""What the leader knows of the holders of shares."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from mothshunt.configuration.model import Configuration
from mothshunt.core.types import CustomerId, Incarnation, InstanceId, RegionId
from mothshunt.limits.messages import Holding, Renewal
from mothshunt.limits.model import LimitKey
from mothshunt.limits.shares import limit_by_key, longest_timeout_s, static_share
from mothshunt.limits.tally import Tally

#: Hold-back for a customer whose contract was removed; the longest that a contract
#: can ask for, in seconds.
LONGEST_TIMEOUT_S = 120.0


@dataclass(slots=True, eq=False)
class HolderRecord:
    """Remember what one incarnation of a holder may use until when."""

    holder: InstanceId
    incarnation: Incarnation
    sequence: int
    region: RegionId
    lease_end: float
    #: Whether a later incarnation of the holder has reported.
    former: bool = False
    #: Whether a later report of the same incarnation took its place.
    replaced: bool = False
    #: Whether its wishes count: its lease has not ended.
    live: bool = True
    holding_by_key: dict[LimitKey, Holding] = field(default_factory=dict)
    outstanding_by_key: dict[LimitKey, int] = field(default_factory=dict)
    #: Static room beyond what is reserved, as it was counted.
    extra_by_key: dict[LimitKey, int] = field(default_factory=dict)

    def is_home(self, key: LimitKey) -> bool:
        """Tell whether a limit is of the region of the holder.

        :param key: The limit.
        """
        return self.region == key.name


class HolderRecords:
    """Keep the records of all holders and the sums over them.

    :param began_at: Monotonic time at which the leader began, in seconds.
    """

    def __init__(self, began_at: float) -> None:
        self.limit_by_key = limit_by_key(Configuration())
        self._began_at = began_at
        self._configuration = Configuration()
        self._timeout_by_customer: dict[CustomerId, float] = {}
        self._record_by_holder: dict[InstanceId, HolderRecord] = {}
        self._tally_by_key: dict[LimitKey, Tally] = {}
        # In the order of lease ends, as each grant sets the latest one.
        self._leases: deque[tuple[float, HolderRecord]] = deque()
        self._lost: list[HolderRecord] = []

    def configure(self, configuration: Configuration) -> None:
        """Take over the limits in force and sum up anew.

        :param configuration: Configuration in force at this instance.
        """
        self._configuration = configuration
        self.limit_by_key = limit_by_key(configuration)
        self._timeout_by_customer = {
            customer: longest_timeout_s(contract)
            for customer, contract in configuration.contract_by_customer.items()
        }
        self._tally_by_key.clear()
        for record in self._all():
            self._count(record, 1)

    def tally(self, key: LimitKey) -> Tally:
        """Return the sums over the holders of a limit.

        :param key: The limit.
        """
        return self._tally_by_key.setdefault(key, Tally())

    def find(self, holder: InstanceId) -> HolderRecord | None:
        """Return the record of a holder that has reported in this term.

        :param holder: Name of the instance.
        """
        return self._record_by_holder.get(holder)

    def longest_timeout_s(self) -> float:
        """Return the longest time that any request may run, in seconds."""
        return max(self._timeout_by_customer.values(), default=LONGEST_TIMEOUT_S)

    def take_report(self, renewal: Renewal, region: RegionId) -> HolderRecord:
        """Replace what is known of a holder by what it reports.

        The holder accepts no answer to an earlier renewal once it has sent this one,
        so its report is all that it may use.

        :param renewal: The report.
        :param region: Region of the holder.
        """
        known = self._record_by_holder.get(renewal.holder)
        lease_end = self._began_at
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
            outstanding_by_key={item.key: floor_of(item) for item in renewal.holdings},
        )
        self._record_by_holder[renewal.holder] = record
        self._count(record, 1)
        return record

    def set_lease(
        self, record: HolderRecord, share_by_key: dict[LimitKey, int], lease_end: float
    ) -> None:
        """Note what a record was granted.

        :param record: Record of the holder.
        :param share_by_key: Its shares.
        :param lease_end: Monotonic time at which they end, in seconds.
        """
        for key, share in share_by_key.items():
            before = record.outstanding_by_key.get(key, 0)
            after = max(before, share)
            record.outstanding_by_key[key] = after
            self.tally(key).outstanding += after - before
        record.lease_end = lease_end
        self._leases.append((lease_end, record))

    def expire(self, now: float) -> None:
        """Take out wishes of ended leases, and shares whose requests have ended.

        :param now: Monotonic time, in seconds.
        """
        while self._leases and self._leases[0][0] <= now:
            _, record = self._leases.popleft()
            if record.live and not record.replaced:
                self._set_lost(record)
        if self._lost:
            self._lost = [item for item in self._lost if self._hold_back(item, now)]

    def _replace(self, known: HolderRecord, incarnation: Incarnation) -> None:
        if known.incarnation == incarnation:
            self._count(known, -1)
            known.replaced = True
            if known in self._lost:
                self._lost.remove(known)
            return
        # Requests of the former process may still run at targets.
        self._count(known, -1)
        known.former = True
        self._count(known, 1)
        if known.live:
            self._set_lost(known)

    def _set_lost(self, record: HolderRecord) -> None:
        self._count(record, -1)
        record.live = False
        self._count(record, 1)
        self._lost.append(record)

    def _hold_back(self, record: HolderRecord, now: float) -> bool:
        """Drop the shares whose requests have ended; tell whether any are left."""
        for key in list(record.outstanding_by_key):
            timeout_s = self._timeout_by_customer.get(key.customer, LONGEST_TIMEOUT_S)
            if now < record.lease_end + timeout_s:
                continue
            self._count_key(record, key, -1)
            del record.outstanding_by_key[key]
        return bool(record.outstanding_by_key)

    def _count(self, record: HolderRecord, sign: int) -> None:
        for key in record.outstanding_by_key:
            self._count_key(record, key, sign)

    def _count_key(self, record: HolderRecord, key: LimitKey, sign: int) -> None:
        tally = self.tally(key)
        holding = record.holding_by_key[key]
        tally.outstanding += sign * record.outstanding_by_key[key]
        tally.used += sign * holding.in_use
        if sign > 0:
            record.extra_by_key[key] = self._extra_static(record, holding)
        tally.extra_static += sign * record.extra_by_key[key]
        if record.live:
            tally.add_wish(holding, record.is_home(key), sign)

    def _extra_static(self, record: HolderRecord, holding: Holding) -> int:
        """Return static room in use beyond what the present limit reserves.

        A holder that has not applied a lowered limit still uses its old static
        share, and a former process may use the one that its successor has now.
        """
        limit = self.limit_by_key.get(holding.key, 0)
        instance = self._configuration.instance_by_id.get(record.holder)
        reserved = 0 if record.former else static_share(holding.key, limit, instance)
        return max(0, holding.static - reserved)

    def _all(self) -> Iterator[HolderRecord]:
        yield from self._record_by_holder.values()
        yield from (record for record in self._lost if record.former)


def floor_of(holding: Holding) -> int:
    """Return the leased room that a holder uses whatever it is granted.

    :param holding: What it reports.
    """
    return max(holding.held, holding.in_use - holding.static, 0)
