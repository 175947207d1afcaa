"""Shares as one entry instance holds and uses them."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from mothshunt.configuration.model import NO_REVISION
from mothshunt.core.codes import Failure
from mothshunt.core.types import Incarnation, InstanceId, RegionId, Revision
from mothshunt.limits import codes
from mothshunt.limits.account import Account
from mothshunt.limits.const import (
    COMMITMENT_RESERVE_DIVISOR,
    WINDOW_S,
)
from mothshunt.limits.messages import Grant, Holding, Renewal
from mothshunt.limits.model import LimitKey, LimitKind, Permit


@dataclass(frozen=True, slots=True)
class Lane:
    """Hold the limits that a request falls under, ready for use.

    :param keys: The limits.
    :param accounts: Their accounts at one holder.
    """

    keys: tuple[LimitKey, ...]
    accounts: tuple[Account, ...]


@dataclass(frozen=True, slots=True)
class _Held:
    """Remember a permit that was given out."""

    lane: Lane
    since: float


@dataclass(slots=True)
class Holder:
    """Decide which requests may start under the shares of this instance.

    :param instance: Name of this instance.
    :param incarnation: Incarnation of this instance.
    :param region: Region of this instance.
    :param opens_at: Monotonic time before which nothing may start, in seconds, so
        that the requests of a former process of this instance have ended.
    """

    instance: InstanceId
    incarnation: Incarnation
    region: RegionId
    opens_at: float
    _revision: Revision = NO_REVISION
    _account_by_key: dict[LimitKey, Account] = field(default_factory=dict)
    _held_by_permit: dict[int, _Held] = field(default_factory=dict)
    _lease_end: float = -math.inf
    _sequence: int = 0
    _sent_at: float = -math.inf
    _window_started_at: float = 0.0
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
            self._account(key).static = static

    def _account(self, key: LimitKey) -> Account:
        account = self._account_by_key.get(key)
        if account is None:
            at_home = key.kind is LimitKind.REGION and key.name == self.region
            account = self._account_by_key[key] = Account(at_home)
        return account

    def lane(self, keys: tuple[LimitKey, ...]) -> Lane:
        """Return what ``lacking`` and ``acquire`` take for some limits.

        :param keys: The limits; no key twice.
        """
        return Lane(keys, tuple(self._account(key) for key in keys))

    def lacking(
        self, lane: Lane, *, idempotent: bool, now: float, counted: bool = True
    ) -> Failure | None:
        """Tell which limit leaves no room for one more request, if any does.

        :param lane: The limits.
        :param idempotent: Whether the request may be repeated; such a request leaves
            the last room to others.
        :param now: Monotonic time, in seconds.
        :param counted: Whether a refusal counts as new demand.
        """
        failure = None
        leased = now < self._lease_end
        closed = now < self.opens_at
        for key, account in zip(lane.keys, lane.accounts, strict=True):
            capacity = account.static + (account.share if leased else 0)
            room = 0 if closed else capacity - account.in_use
            kept = capacity // COMMITMENT_RESERVE_DIVISOR if idempotent else 0
            if room > kept:
                continue
            account.refused += counted
            failure = failure or _failure(key, room)
        return failure

    def acquire(self, lane: Lane, now: float) -> Permit:
        """Take room for one request; ask ``lacking`` first, at the same time.

        :param lane: The limits.
        :param now: Monotonic time, in seconds.
        """
        for account in lane.accounts:
            account.change(1, now)
        permit = Permit(number=self._next_permit, keys=lane.keys)
        self._held_by_permit[permit.number] = _Held(lane, now)
        self._next_permit += 1
        return permit

    def release(self, permit: Permit, now: float) -> None:
        """Give the room of a permit back.

        :param permit: What ``acquire`` returned; released once.
        :param now: Monotonic time, in seconds.
        """
        held = self._held_by_permit.pop(permit.number, None)
        if held is None:
            raise ValueError(f"permit {permit.number} is released twice")
        for account in held.lane.accounts:
            account.change(-1, now)
            account.learn_hold(now - held.since)

    def may_dispatch(self, permit: Permit, now: float) -> bool:
        """Tell whether a request may still be sent on a permit taken earlier.

        A process that froze after ``acquire`` may wake after its lease ended;
        its room may then be another instance's.

        :param permit: What ``acquire`` returned.
        :param now: Monotonic time, in seconds.
        """
        if now < self._lease_end:
            return True
        accounts = self._held_by_permit[permit.number].lane.accounts
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
        window_s = now - self._window_started_at
        self._sequence += 1
        self._sent_at = now
        holdings = tuple(
            _holding(key, account, leased, account.wanted(window_s, now))
            for key, account in self._account_by_key.items()
            if not account.is_idle()
        )
        if window_s >= WINDOW_S:
            self._window_started_at = now
            for account in self._account_by_key.values():
                account.start_window(window_s, now)
        return Renewal(
            holder=self.instance,
            incarnation=self.incarnation,
            sequence=self._sequence,
            revision=self._revision,
            holdings=holdings,
        )

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


def _holding(key: LimitKey, account: Account, leased: bool, wanted: int) -> Holding:
    account.share = min(account.share, wanted) if leased else 0
    return Holding(
        key=key,
        held=account.share,
        static=account.static,
        in_use=account.in_use,
        needed=account.needed(wanted),
        wanted=wanted,
    )


def _failure(key: LimitKey, room: int) -> Failure:
    code = codes.RESERVED if room > 0 else codes.FULL_BY_KIND[key.kind]
    return Failure(code=code, detail=_name(key))


def _name(key: LimitKey) -> str:
    return f"{key.customer} {key.kind.value} {key.name}".strip()
