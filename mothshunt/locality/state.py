"""Deciding functions on the locality of objects, without any I/O."""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from mothshunt.core.types import InstanceId, RegionId, ServiceName
from mothshunt.locality import const
from mothshunt.locality.messages import LocalityRow, ObjectRow
from mothshunt.util.hashing import hash_text

_HASH_MASK = 2**32 - 1


@dataclass(slots=True)
class ObjectSampler:
    """Observed objects that were requested at one entry instance since the last report.

    An object is observed by its hash, so all entry instances observe the same ones.
    """

    _objects_by_service: dict[ServiceName, set[int]] = field(default_factory=dict)

    def record(self, service: ServiceName, affinity_key: str) -> None:
        """Record a request for an object.

        :param service: The requested service.
        :param affinity_key: Key of the object.
        """
        value = hash_text(f"{service}/{affinity_key}")
        if value % const.SAMPLE_DIVISOR:
            return
        objects = self._objects_by_service.setdefault(service, set())
        if len(objects) < const.MAX_REPORTED_OBJECTS:
            # The lowest bits are the same for all observed objects.
            objects.add(value // const.SAMPLE_DIVISOR & _HASH_MASK)

    def take_rows(self) -> tuple[ObjectRow, ...]:
        """Return the objects since the last call, by service."""
        taken, self._objects_by_service = self._objects_by_service, {}
        return tuple(
            ObjectRow(service, tuple(sorted(objects)))
            for service, objects in taken.items()
        )


@dataclass(slots=True)
class _ObservedObject:
    """Requests for one object.

    :param requested_at_by_region: Time of the last request in each region, in seconds.
    :param reports: Number of reports that contained it.
    """

    requested_at_by_region: dict[RegionId, float] = field(default_factory=dict)
    reports: int = 0


@dataclass(slots=True)
class LocalityBoard:
    """Objects of all services at one control instance, with the regions of callers."""

    _object_by_key: OrderedDict[tuple[ServiceName, int], _ObservedObject] = field(
        default_factory=OrderedDict
    )

    def record(self, region: RegionId, rows: Iterable[ObjectRow], now: float) -> None:
        """Record the report of an entry instance.

        :param region: Region of the entry instance.
        :param rows: Objects that were requested there.
        :param now: The present time, in seconds.
        """
        for row in rows:
            for value in row.objects:
                key = (row.service, value)
                observed = self._object_by_key.setdefault(key, _ObservedObject())
                observed.requested_at_by_region[region] = now
                observed.reports += 1
                self._object_by_key.move_to_end(key)
        while len(self._object_by_key) > const.MAX_KNOWN_OBJECTS:
            self._object_by_key.popitem(last=False)

    def summary(self, now: float) -> tuple[LocalityRow, ...]:
        """Return the locality of the objects of each service.

        An object that was reported once says nothing about other regions.

        :param now: The present time, in seconds.
        """
        regional: Counter[ServiceName] = Counter()
        shared: Counter[ServiceName] = Counter()
        for key, observed in list(self._object_by_key.items()):
            times = observed.requested_at_by_region
            for region, requested_at in list(times.items()):
                if now - requested_at > const.RETENTION_S:
                    del times[region]
            if not times:
                del self._object_by_key[key]
            elif len(times) > 1:
                shared[key[0]] += 1
            elif observed.reports > 1:
                regional[key[0]] += 1
        return tuple(
            LocalityRow(service, regional[service], shared[service])
            for service in sorted({*regional, *shared})
        )


@dataclass(slots=True)
class LocalityView:
    """Locality of the objects of each service, as one entry instance knows it.

    The summary of the control instance that was told of the most objects counts: one
    that was restarted, or that some entry instances can't reach, knows fewer.
    """

    _summary_by_control: dict[InstanceId, tuple[dict[ServiceName, LocalityRow], float]]
    _is_regional_by_service: dict[ServiceName, bool]

    @classmethod
    def empty(cls) -> "LocalityView":
        """Return the view of an instance that has received no summary."""
        return cls({}, {})

    def apply(
        self, control: InstanceId, rows: Iterable[LocalityRow], now: float
    ) -> list[ServiceName]:
        """Apply a summary; return the services whose objects are seen otherwise now.

        :param control: Control instance that sent it.
        :param rows: Its rows.
        :param now: The present time, in seconds.
        """
        self._summary_by_control[control] = ({row.service: row for row in rows}, now)
        for other, (_, received_at) in list(self._summary_by_control.items()):
            if now - received_at > const.SUMMARY_LIFETIME_S:
                del self._summary_by_control[other]
        summaries = [by_service for by_service, _ in self._summary_by_control.values()]
        changed = []
        for service in {service for summary in summaries for service in summary}:
            best = max(
                (summary[service] for summary in summaries if service in summary),
                key=lambda row: row.regional + row.shared,
            )
            is_regional = _is_regional(best, self._is_regional_by_service.get(service))
            if is_regional is not self._is_regional_by_service.get(service):
                assert is_regional is not None
                self._is_regional_by_service[service] = is_regional
                changed.append(service)
        return changed

    def is_regional(self, service: ServiceName) -> bool:
        """Whether the objects of a service are requested in one region each.

        Objects are taken for regional until it is known: a wrong target in the own
        region costs a slow response for each object, one in another region costs the
        delay for each request.

        :param service: The service.
        """
        return self._is_regional_by_service.get(service, True)


def _is_regional(row: LocalityRow, before: bool | None) -> bool | None:
    count = row.regional + row.shared
    if count < const.MIN_OBJECTS:
        return before
    share = row.regional / count
    if share >= const.REGIONAL_SHARE:
        return True
    return False if share < const.SHARED_SHARE else before
