"""Order of the entry instances for each group of clients."""

import math
import socket
from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from mothshunt.core.types import AvailabilityZoneId, InstanceId, InstanceState, RegionId
from mothshunt.drain.model import DrainSet
from mothshunt.lookup.const import (
    CLIENT_GROUP_COUNT,
    IPV4_BLOCK_BYTES,
    IPV6_BLOCK_BYTES,
    MAX_ENTRIES_PER_ANSWER,
    MIN_OVERLOAD_REQUESTS,
    OVERLOAD_END_RATIO,
    OVERLOAD_RATIO,
    SAME_ZONE_WEIGHT,
)
from mothshunt.membership.model import EntryPresence, InstanceRecord

_IPV4_MAPPED_PREFIX = bytes(10) + b"\xff\xff"
_HASH_RANGE = float(1 << 64)


def client_block(address: str) -> bytes | None:
    """Return the address block of a client: its IPv4 /24 or IPv6 /48.

    :param address: IP number of the client.
    :return: The first bytes of the address; ``None`` if it is no valid IP number.
    """
    try:
        if ":" not in address:
            return socket.inet_pton(socket.AF_INET, address)[:IPV4_BLOCK_BYTES]
        packed = socket.inet_pton(socket.AF_INET6, address)
    except (OSError, ValueError):
        return None
    if packed.startswith(_IPV4_MAPPED_PREFIX):
        return packed[len(_IPV4_MAPPED_PREFIX) :][:IPV4_BLOCK_BYTES]
    return packed[:IPV6_BLOCK_BYTES]


def group_of(block: bytes) -> int:
    """Return the group that an address block belongs to.

    :param block: What ``client_block`` returned.
    """
    return int(xxhash.xxh3_64_intdigest(block)) % CLIENT_GROUP_COUNT


def client_group(address: str) -> int | None:
    """Return the group of the address block of a client.

    :param address: IP number of the client.
    :return: The group; ``None`` if the address is no valid IP number.
    """
    block = client_block(address)
    return None if block is None else group_of(block)


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """Entry instance that may be listed in answers.

    :param record: The instance.
    :param in_own_region: Whether it is in the region of the asked instance.
    :param weight: Share of clients relative to the others of its region.
    """

    record: InstanceRecord
    in_own_region: bool
    weight: float


@dataclass(slots=True)
class EntryTable:
    """Table of the entry instances in the order in which each group should use them.

    The order is by weighted rendezvous hashing: when an entry instance comes or goes,
    only its own share of the groups changes.

    :param region: Region of this instance.
    :param availability_zone: Availability zone of this instance.
    """

    region: RegionId
    availability_zone: AvailabilityZoneId
    candidates: tuple[Candidate, ...] = ()
    _order_by_group: dict[int, tuple[InstanceRecord, ...]] = field(default_factory=dict)
    _entries: Sequence[EntryPresence] | None = None
    _drains: DrainSet | None = None
    _overloaded: frozenset[InstanceId] = frozenset()

    def update(self, entries: Sequence[EntryPresence], drains: DrainSet) -> bool:
        """Apply the current entries and drains; returns early if neither changed.

        :param entries: Reachable entry instances.
        :param drains: Drains in force.
        :return: Whether answers may change.
        """
        if entries is self._entries and drains is self._drains:
            return False
        self._entries = entries
        self._drains = drains
        usable = [entry for entry in entries if _accepts_callers(entry, drains)]
        self._overloaded = _overloaded(usable, self._overloaded)
        candidates = tuple(self._candidate(entry.record) for entry in usable)
        if candidates == self.candidates:
            return False
        self.candidates = candidates
        self._order_by_group.clear()
        return True

    def entries_for(self, group: int) -> tuple[InstanceRecord, ...]:
        """Return the entry instances for a group of clients, best first.

        :param group: What ``group_of`` returned.
        """
        order = self._order_by_group.get(group)
        if order is None:
            order = self._order_by_group[group] = rank_candidates(
                self.candidates, group
            )
        return order

    def _candidate(self, record: InstanceRecord) -> Candidate:
        weight = 1.0
        if record.availability_zone == self.availability_zone:
            weight = SAME_ZONE_WEIGHT
        if record.id in self._overloaded:
            weight /= 2
        return Candidate(
            record=record, in_own_region=record.region == self.region, weight=weight
        )


def rank_candidates(
    candidates: Sequence[Candidate], group: int
) -> tuple[InstanceRecord, ...]:
    """Return the entry instances for one group, those of the own region first.

    :param candidates: Entry instances that may be listed.
    :param group: Group of clients.
    """
    local = [item for item in candidates if item.in_own_region]
    ranked = _by_score(local, group)[:MAX_ENTRIES_PER_ANSWER]
    if len(ranked) < MAX_ENTRIES_PER_ANSWER:
        remote = [item for item in candidates if not item.in_own_region]
        ranked += _by_score(remote, group)[: MAX_ENTRIES_PER_ANSWER - len(ranked)]
    return tuple(item.record for item in ranked)


def _by_score(candidates: list[Candidate], group: int) -> list[Candidate]:
    return sorted(candidates, key=lambda item: _score(item, group))


def _score(candidate: Candidate, group: int) -> float:
    """Return a score; the chance to have the lowest is proportional to the weight."""
    digest = xxhash.xxh3_64_intdigest(candidate.record.id.encode(), seed=group)
    return -math.log((digest + 1) / _HASH_RANGE) / candidate.weight


def _accepts_callers(entry: EntryPresence, drains: DrainSet) -> bool:
    record = entry.record
    return not (
        entry.state is not InstanceState.READY
        or record.id in drains.instances
        or record.availability_zone in drains.availability_zones
        or record.region in drains.regions
    )


def _overloaded(
    entries: Sequence[EntryPresence], previous: frozenset[InstanceId]
) -> frozenset[InstanceId]:
    """Return the entry instances with clearly more load than the mean of their region.

    An entry instance stays overloaded until its load is near the mean again, so that
    small changes of load move no clients.

    :param entries: Entry instances that accept callers.
    :param previous: Entry instances that were overloaded so far.
    """
    loads_by_region: dict[RegionId, list[int]] = {}
    for entry in entries:
        loads_by_region.setdefault(entry.record.region, []).append(entry.load)
    overloaded = set()
    for entry in entries:
        loads = loads_by_region[entry.record.region]
        mean = sum(loads) / len(loads)
        was_overloaded = entry.record.id in previous
        ratio = OVERLOAD_END_RATIO if was_overloaded else OVERLOAD_RATIO
        if entry.load >= MIN_OVERLOAD_REQUESTS and entry.load > ratio * mean:
            overloaded.add(entry.record.id)
    return frozenset(overloaded)
