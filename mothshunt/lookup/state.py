"""Which entry instances a caller should use."""

import math
import socket
from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from mothshunt.core.types import AvailabilityZoneId, InstanceId, InstanceState, RegionId
from mothshunt.drain.model import DrainSet
from mothshunt.lookup.const import (
    ENTRIES_MAX,
    GROUPS,
    HIGH_LOAD_FLOOR,
    HIGH_LOAD_RATIO,
    IPV4_BLOCK_BYTES,
    IPV6_BLOCK_BYTES,
    NORMAL_LOAD_RATIO,
    SAME_ZONE_WEIGHT,
)
from mothshunt.membership.model import EntryPresence, InstanceRecord

_MAPPED_IPV4 = bytes(10) + b"\xff\xff"
_HASH_RANGE = float(1 << 64)


def client_block(address: str) -> bytes | None:
    """Return the block of a client: its IPv4 /24 or IPv6 /48.

    :param address: IP number of the client.
    :return: The first bytes of the address; ``None`` when it is no IP number.
    """
    try:
        if ":" not in address:
            return socket.inet_pton(socket.AF_INET, address)[:IPV4_BLOCK_BYTES]
        packed = socket.inet_pton(socket.AF_INET6, address)
    except (OSError, ValueError):
        return None
    if packed.startswith(_MAPPED_IPV4):
        return packed[len(_MAPPED_IPV4) :][:IPV4_BLOCK_BYTES]
    return packed[:IPV6_BLOCK_BYTES]


def group_of(block: bytes) -> int:
    """Return the group that a block of clients belongs to.

    :param block: What ``client_block`` returned.
    """
    return int(xxhash.xxh3_64_intdigest(block)) % GROUPS


def client_group(address: str) -> int | None:
    """Return the group of a client's block.

    :param address: IP number of the client.
    :return: The group; ``None`` when the address is no IP number.
    """
    block = client_block(address)
    return None if block is None else group_of(block)


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """Hold an entry instance that answers may name.

    :param record: The instance.
    :param at_home: Whether it is in the region of the asked instance.
    :param weight: Share of clients relative to the others of its region.
    """

    record: InstanceRecord
    at_home: bool
    weight: float


@dataclass(slots=True)
class EntryTable:
    """Order entry instances for each group of clients.

    Weighted rendezvous hashing: when an entry comes or goes, only its own share of
    the groups moves.

    :param region: Region of this instance.
    :param availability_zone: Availability zone of this instance.
    """

    region: RegionId
    availability_zone: AvailabilityZoneId
    candidates: tuple[Candidate, ...] = ()
    _order_by_group: dict[int, tuple[InstanceRecord, ...]] = field(default_factory=dict)
    _entries: Sequence[EntryPresence] | None = None
    _drains: DrainSet | None = None
    _loaded: frozenset[InstanceId] = frozenset()

    def update(self, entries: Sequence[EntryPresence], drains: DrainSet) -> bool:
        """Take over entries and drains; cheap when nothing changed.

        :param entries: Reachable entry instances.
        :param drains: Drains in force.
        :return: Whether answers may change.
        """
        if entries is self._entries and drains is self._drains:
            return False
        self._entries = entries
        self._drains = drains
        usable = [entry for entry in entries if _may_get_callers(entry, drains)]
        self._loaded = _loaded(usable, self._loaded)
        candidates = tuple(self._candidate(entry.record) for entry in usable)
        if candidates == self.candidates:
            return False
        self.candidates = candidates
        self._order_by_group.clear()
        return True

    def order(self, group: int) -> tuple[InstanceRecord, ...]:
        """Return the entry instances for a group of clients, best first.

        :param group: What ``group_of`` returned.
        """
        order = self._order_by_group.get(group)
        if order is None:
            order = self._order_by_group[group] = rank(self.candidates, group)
        return order

    def _candidate(self, record: InstanceRecord) -> Candidate:
        weight = 1.0
        if record.availability_zone == self.availability_zone:
            weight = SAME_ZONE_WEIGHT
        if record.id in self._loaded:
            weight /= 2
        return Candidate(
            record=record, at_home=record.region == self.region, weight=weight
        )


def rank(candidates: Sequence[Candidate], group: int) -> tuple[InstanceRecord, ...]:
    """Order entry instances for one group: those of the region first.

    :param candidates: Entry instances that may be named.
    :param group: Group of clients.
    """
    near = [item for item in candidates if item.at_home]
    ranked = _by_score(near, group)[:ENTRIES_MAX]
    if len(ranked) < ENTRIES_MAX:
        far = [item for item in candidates if not item.at_home]
        ranked += _by_score(far, group)[: ENTRIES_MAX - len(ranked)]
    return tuple(item.record for item in ranked)


def _by_score(candidates: list[Candidate], group: int) -> list[Candidate]:
    return sorted(candidates, key=lambda item: _score(item, group))


def _score(candidate: Candidate, group: int) -> float:
    """Return a number whose least wins with a chance in proportion to the weight."""
    digest = xxhash.xxh3_64_intdigest(candidate.record.id.encode(), seed=group)
    return -math.log((digest + 1) / _HASH_RANGE) / candidate.weight


def _may_get_callers(entry: EntryPresence, drains: DrainSet) -> bool:
    record = entry.record
    return not (
        entry.state is not InstanceState.READY
        or record.id in drains.instances
        or record.availability_zone in drains.availability_zones
        or record.region in drains.regions
    )


def _loaded(
    entries: Sequence[EntryPresence], before: frozenset[InstanceId]
) -> frozenset[InstanceId]:
    """Return the entries with clearly more load than the mean of their region.

    An entry stays among them until its load is near the mean again, so that small
    changes of load move no clients.
    """
    loads_by_region: dict[RegionId, list[int]] = {}
    for entry in entries:
        loads_by_region.setdefault(entry.record.region, []).append(entry.load)
    loaded = set()
    for entry in entries:
        loads = loads_by_region[entry.record.region]
        mean = sum(loads) / len(loads)
        was = entry.record.id in before
        ratio = NORMAL_LOAD_RATIO if was else HIGH_LOAD_RATIO
        if entry.load >= HIGH_LOAD_FLOOR and entry.load > ratio * mean:
            loaded.add(entry.record.id)
    return frozenset(loaded)
