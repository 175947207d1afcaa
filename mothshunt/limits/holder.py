"""Shares that one entry instance holds, and admission of requests under them."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from mothshunt.configuration.model import NO_REVISION
from mothshunt.core.codes import Failure
from mothshunt.core.types import Incarnation, InstanceId, RegionId, Revision
from mothshunt.limits import codes
from mothshunt.limits.account import LimitUsage
from mothshunt.limits.const import NON_IDEMPOTENT_RESERVE_DIVISOR, WINDOW_S
from mothshunt.limits.messages import Grant, Holding, Renewal
from mothshunt.limits.model import LimitKey, LimitKind, Permit


@dataclass(frozen=True, slots=True)
class LimitSet:
    """Limits that apply to a request, with their use at one holder.

    :param keys: The limits.
    :param usages: Use of each limit, in the order of the keys.
    """

    keys: tuple[LimitKey, ...]
    usages: tuple[LimitUsage, ...]


@dataclass(frozen=True, slots=True)
class _ActivePermit:
    """Permit that was acquired and is not yet released."""

    limit_set: LimitSet
    acquired_at: float


@dataclass(slots=True)
class LeaseHolder:
    """Shares of one entry instance, which admit requests under the limits.

    :param instance: Name of this instance.
    :param incarnation: Incarnation of this instance.
    :param region: Region of this instance.
    :param earliest_start: Monotonic time before which no request may start, in seconds;
        by then the requests of a previous process of this instance have ended.
    """

    instance: InstanceId
    incarnation: Incarnation
    region: RegionId
    earliest_start: float
    _revision: Revision = NO_REVISION
    _usage_by_key: dict[LimitKey, LimitUsage] = field(default_factory=dict)
    _active_by_number: dict[int, _ActivePermit] = field(default_factory=dict)
    _lease_end: float = -math.inf
    _sequence: int = 0
    _renewal_sent_at: float = -math.inf
    _window_started_at: float = 0.0
    _next_number: int = 1

    def configure(
        self, revision: Revision, static_by_key: Mapping[LimitKey, int]
    ) -> None:
        """Apply the limits in force.

        :param revision: Revision of the configuration that sets them.
        :param static_by_key: Static share of this instance under each limit.
        """
        self._revision = revision
        for key, usage in list(self._usage_by_key.items()):
            if key not in static_by_key:
                usage.static_share = 0
                usage.leased_share = 0
        for key, static_share in static_by_key.items():
            self._get_or_create_usage(key).static_share = static_share

    def _get_or_create_usage(self, key: LimitKey) -> LimitUsage:
        usage = self._usage_by_key.get(key)
        if usage is None:
            is_home_region = key.kind is LimitKind.REGION and key.name == self.region
            usage = self._usage_by_key[key] = LimitUsage(is_home_region)
        return usage

    def limit_set(self, keys: tuple[LimitKey, ...]) -> LimitSet:
        """Return the argument of ``check_capacity`` and ``acquire`` for some limits.

        :param keys: The limits; no key twice.
        """
        return LimitSet(keys, tuple(self._get_or_create_usage(key) for key in keys))

    def check_capacity(
        self,
        limit_set: LimitSet,
        *,
        idempotent: bool,
        now: float,
        count_refusal: bool = True,
    ) -> Failure | None:
        """Return the failure of the first limit that one more request would exceed.

        :param limit_set: The limits.
        :param idempotent: Whether the request may be repeated; such a request may not
            use the part of a share that is reserved for non-idempotent requests.
        :param now: Monotonic time, in seconds.
        :param count_refusal: Whether a refusal counts as demand in the next renewal.
        :return: ``None`` when the request may start.
        """
        failure = None
        lease_is_valid = now < self._lease_end
        is_too_early = now < self.earliest_start
        for key, usage in zip(limit_set.keys, limit_set.usages, strict=True):
            capacity = usage.static_share + (
                usage.leased_share if lease_is_valid else 0
            )
            free = 0 if is_too_early else capacity - usage.in_use
            reserved = capacity // NON_IDEMPOTENT_RESERVE_DIVISOR if idempotent else 0
            if free > reserved:
                continue
            usage.refused += count_refusal
            failure = failure or _limit_failure(key, free)
        return failure

    def acquire(self, limit_set: LimitSet, now: float) -> Permit:
        """Count one request under its limits and return its permit.

        The caller has just called ``check_capacity`` with the same arguments, and it
        returned ``None``.

        :param limit_set: The limits.
        :param now: Monotonic time, in seconds.
        """
        for usage in limit_set.usages:
            usage.add(1, now)
        permit = Permit(number=self._next_number, keys=limit_set.keys)
        self._active_by_number[permit.number] = _ActivePermit(limit_set, now)
        self._next_number += 1
        return permit

    def release(self, permit: Permit, now: float) -> None:
        """Stop counting a request that has ended.

        :param permit: Result of ``acquire``; released once.
        :param now: Monotonic time, in seconds.
        """
        active = self._active_by_number.pop(permit.number, None)
        if active is None:
            raise ValueError(f"permit {permit.number} was already released")
        for usage in active.limit_set.usages:
            usage.add(-1, now)
            usage.record_duration(now - active.acquired_at)

    def may_dispatch(self, permit: Permit, now: float) -> bool:
        """Whether a request may still be sent with a permit acquired earlier.

        If the process was suspended after ``acquire`` until its lease had ended, the
        leader may have granted its share to another instance.

        :param permit: Result of ``acquire``.
        :param now: Monotonic time, in seconds.
        """
        if now < self._lease_end:
            return True
        usages = self._active_by_number[permit.number].limit_set.usages
        return all(usage.in_use <= usage.static_share for usage in usages)

    def free_capacity(self, key: LimitKey, now: float) -> int:
        """Return how many more requests may start under a limit.

        :param key: The limit.
        :param now: Monotonic time, in seconds.
        """
        return self.capacity(key, now) - self.in_use(key)

    def capacity(self, key: LimitKey, now: float) -> int:
        """Return the share of a limit that is usable now, leased and static.

        :param key: The limit.
        :param now: Monotonic time, in seconds.
        """
        usage = self._usage_by_key.get(key)
        if usage is None or now < self.earliest_start:
            return 0
        return usage.static_share + (usage.leased_share if now < self._lease_end else 0)

    def in_use(self, key: LimitKey) -> int:
        """Return the number of requests in flight under a limit.

        :param key: The limit.
        """
        usage = self._usage_by_key.get(key)
        return 0 if usage is None else usage.in_use

    def lease_end(self) -> float:
        """Return the monotonic time at which the leased shares expire, in seconds."""
        return self._lease_end

    def prepare_renewal(self, now: float) -> Renewal:
        """Give up shares that are no longer wanted and return the next renewal.

        From this call on, answers to earlier renewals are not accepted.

        :param now: Monotonic time before the renewal is sent, in seconds.
        """
        lease_is_valid = now < self._lease_end
        window_s = now - self._window_started_at
        self._sequence += 1
        self._renewal_sent_at = now
        holdings = tuple(
            _report(key, usage, lease_is_valid, usage.wanted_share(window_s, now))
            for key, usage in self._usage_by_key.items()
            if not usage.is_idle()
        )
        if window_s >= WINDOW_S:
            self._window_started_at = now
            for usage in self._usage_by_key.values():
                usage.start_window(window_s, now)
        return Renewal(
            holder=self.instance,
            incarnation=self.incarnation,
            sequence=self._sequence,
            revision=self._revision,
            holdings=holdings,
        )

    def accept(self, grant: Grant, now: float) -> bool:
        """Apply granted shares.

        :param grant: Answer to a renewal.
        :param now: Monotonic time, in seconds.
        :return: ``False`` when the answer is to an earlier renewal or its lease has
            already ended.
        """
        lease_end = self._renewal_sent_at + grant.lease_s
        if grant.sequence != self._sequence or now >= lease_end:
            return False
        share_by_key = {item.key: item.share for item in grant.shares}
        for key, usage in self._usage_by_key.items():
            usage.leased_share = share_by_key.get(key, 0)
        self._lease_end = lease_end
        return True


def _report(
    key: LimitKey, usage: LimitUsage, lease_is_valid: bool, wanted: int
) -> Holding:
    """Give up the leased share beyond the wanted one and return the report of both."""
    usage.leased_share = min(usage.leased_share, wanted) if lease_is_valid else 0
    return Holding(
        key=key,
        held=usage.leased_share,
        static=usage.static_share,
        in_use=usage.in_use,
        needed=usage.needed_share(wanted),
        wanted=wanted,
    )


def _limit_failure(key: LimitKey, free: int) -> Failure:
    code = codes.RESERVED if free > 0 else codes.FULL_BY_KIND[key.kind]
    return Failure(code=code, detail=_limit_text(key))


def _limit_text(key: LimitKey) -> str:
    return f"{key.customer} {key.kind.value} {key.name}".strip()
