"""Shares as one entry instance holds and uses them."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from expression import Error, Ok, Result

from mothshunt.configuration.model import NO_REVISION
from mothshunt.core.codes import Failure
from mothshunt.core.types import Incarnation, InstanceId, Revision
from mothshunt.limits import codes
from mothshunt.limits.const import (
    COMMITMENT_RESERVE_DIVISOR,
    COMMITMENT_RESERVE_FLOOR,
    DEMAND_MARGIN,
    DEMAND_MARGIN_RATIO,
    RENEWAL_INTERVAL_S,
    STARVED_GROWTH,
)
from mothshunt.limits.messages import Grant, Holding, Renewal
from mothshunt.limits.model import LimitKey, Permit


@dataclass(slots=True)
class _Account:
    """Count the use of one limit."""

    static: int = 0
    share: int = 0
    in_use: int = 0
    peak: int = 0
    last_peak: int = 0
    refused: int = 0
    last_refused: int = 0

    def wanted(self) -> int:
        """Return the leased share that recent use and refusals ask for."""
        peak = max(self.peak, self.last_peak)
        refused = max(self.refused, self.last_refused)
        if peak == 0 and refused == 0:
            return 0
        demand = math.ceil(peak * (1 + DEMAND_MARGIN_RATIO)) + DEMAND_MARGIN
        demand += min(refused, peak + STARVED_GROWTH)
        return max(0, demand - self.static)

    def start_window(self) -> None:
        """Begin a new period over which use is measured."""
        self.last_peak = self.peak
        self.last_refused = self.refused
        self.peak = self.in_use
        self.refused = 0

    def is_idle(self) -> bool:
        """Tell whether nothing was held, used or asked for lately."""
        return not (
            self.in_use
            or self.share
            or self.peak
            or self.last_peak
            or self.refused
            or self.last_refused
        )


@dataclass(slots=True)
class Holder:
    """Decide which requests may start under the shares of this instance.

    :param instance: Name of this instance.
    :param incarnation: Incarnation of this instance.
    :param opens_at: Monotonic time before which nothing may start, in seconds, so
        that the requests of a former process of this instance have ended.
    """

    instance: InstanceId
    incarnation: Incarnation
    opens_at: float
    _revision: Revision = NO_REVISION
    _account_by_key: dict[LimitKey, _Account] = field(default_factory=dict)
    _lease_end: float = -math.inf
    _sequence: int = 0
    _sent_at: float = -math.inf
    _window_started_at: float = -math.inf
    _next_permit: int = 1

    def configure(
        self, revision: Revision, static_by_key: Mapping[LimitKey, int]
    ) -> None:
        """Take over the limits in force.

        :param revision: Configuration that sets them.
        :param static_by_key: Static share of this instance of each limit.
        """
        self._revision = revision
        for key, account in list(self._account_by_key.items()):
            if key not in static_by_key:
                account.static = 0
                account.share = 0
        for key, static in static_by_key.items():
            self._account_by_key.setdefault(key, _Account()).static = static

    def try_acquire(
        self, keys: tuple[LimitKey, ...], *, idempotent: bool, now: float
    ) -> Result[Permit, Failure]:
        """Take room for one request under each of some limits, or none at all.

        :param keys: The limits.
        :param idempotent: Whether the request may be repeated; such a request leaves
            the last room to others.
        :param now: Monotonic time, in seconds.
        :return: The permit; or a failure that names the limit without room.
        """
        failures = [
            failure
            for key in keys
            if (failure := self._lack(key, idempotent=idempotent, now=now)) is not None
        ]
        if failures:
            return Error(failures[0])
        return Ok(self._take(keys))

    def _lack(self, key: LimitKey, *, idempotent: bool, now: float) -> Failure | None:
        """Return why a request finds no room under a limit, and count the demand.

        It is counted under each limit without room: asked for one by one, the room
        for one request would take as many renewals as there are limits.
        """
        account = self._account_by_key.get(key)
        if account is None:
            return _full(key)
        capacity = account.static + (account.share if now < self._lease_end else 0)
        if now < self.opens_at:
            capacity = 0
        room = capacity - account.in_use
        if room <= 0:
            account.refused += 1
            return _full(key)
        if idempotent and room <= _reserve(capacity):
            account.refused += 1
            return Failure(code=codes.RESERVED, detail=_name(key))
        return None

    def _take(self, keys: tuple[LimitKey, ...]) -> Permit:
        for key in keys:
            account = self._account_by_key[key]
            account.in_use += 1
            account.peak = max(account.peak, account.in_use)
        permit = Permit(number=self._next_permit, keys=keys)
        self._next_permit += 1
        return permit

    def release(self, permit: Permit) -> None:
        """Give the room of a permit back.

        :param permit: What ``try_acquire`` returned; released once.
        """
        for key in permit.keys:
            account = self._account_by_key[key]
            if account.in_use <= 0:
                raise ValueError(f"permit {permit.number} is released twice")
            account.in_use -= 1

    def may_dispatch(self, permit: Permit, now: float) -> bool:
        """Tell whether a request may still be sent on a permit taken earlier.

        A process that froze after ``try_acquire`` may wake after its lease ended;
        its room may then be another instance's.

        :param permit: What ``try_acquire`` returned.
        :param now: Monotonic time, in seconds.
        """
        if now < self._lease_end:
            return True
        accounts = (self._account_by_key[key] for key in permit.keys)
        return all(account.in_use <= account.static for account in accounts)

    def room(self, key: LimitKey, now: float) -> int:
        """Return how many more requests may start under a limit.

        :param key: The limit.
        :param now: Monotonic time, in seconds.
        """
        return self.capacity(key, now) - self.in_use(key)

    def capacity(self, key: LimitKey, now: float) -> int:
        """Return the share of a limit that may be used now.

        :param key: The limit.
        :param now: Monotonic time, in seconds.
        """
        account = self._account_by_key.get(key)
        if account is None or now < self.opens_at:
            return 0
        return account.static + (account.share if now < self._lease_end else 0)

    def in_use(self, key: LimitKey) -> int:
        """Return the requests in flight under a limit.

        :param key: The limit.
        """
        account = self._account_by_key.get(key)
        return 0 if account is None else account.in_use

    def lease_end(self) -> float:
        """Return the monotonic time at which the leased shares end, in seconds."""
        return self._lease_end

    def prepare_renewal(self, now: float) -> Renewal:
        """Lower shares to what is wanted and say what is held.

        From this call on, answers to earlier renewals are not accepted.

        :param now: Monotonic time before the renewal is sent, in seconds.
        """
        leased = now < self._lease_end
        self._sequence += 1
        self._sent_at = now
        holdings = tuple(
            _holding(key, account, leased)
            for key, account in self._account_by_key.items()
            if not account.is_idle()
        )
        if now - self._window_started_at >= RENEWAL_INTERVAL_S / 2:
            self._start_window(now)
        return Renewal(
            holder=self.instance,
            incarnation=self.incarnation,
            sequence=self._sequence,
            revision=self._revision,
            holdings=holdings,
        )

    def _start_window(self, now: float) -> None:
        self._window_started_at = now
        for account in self._account_by_key.values():
            account.start_window()

    def accept(self, grant: Grant, now: float) -> bool:
        """Take over granted shares.

        :param grant: Answer to the renewal that was sent last.
        :param now: Monotonic time, in seconds.
        :return: ``False`` when the answer is to an earlier renewal or came too late.
        """
        lease_end = self._sent_at + grant.lease_s
        if grant.sequence != self._sequence or now >= lease_end:
            return False
        share_by_key = {item.key: item.share for item in grant.shares}
        for key, account in self._account_by_key.items():
            account.share = share_by_key.get(key, 0)
        self._lease_end = lease_end
        return True


def _holding(key: LimitKey, account: _Account, leased: bool) -> Holding:
    wanted = account.wanted()
    account.share = min(account.share, wanted) if leased else 0
    return Holding(
        key=key,
        held=account.share,
        static=account.static,
        in_use=account.in_use,
        wanted=wanted,
    )


def _reserve(capacity: int) -> int:
    if capacity < COMMITMENT_RESERVE_FLOOR:
        return 0
    return max(1, capacity // COMMITMENT_RESERVE_DIVISOR)


def _full(key: LimitKey) -> Failure:
    return Failure(code=codes.FULL_BY_KIND[key.kind], detail=_name(key))


def _name(key: LimitKey) -> str:
    return f"{key.customer} {key.kind.value} {key.name}".strip()
