"""Deciding functions of the rate_limit slice, without any I/O."""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from mothshunt.core.types import Incarnation, TargetId
from mothshunt.rate_limit import const
from mothshunt.rate_limit.model import RateLimit, TokenDecision
from mothshunt.util.tokens import TokenBucket

#: Returns the present incarnation of a target; ``None`` if it isn't known.
IncarnationByTarget = Callable[[TargetId], Incarnation | None]


@dataclass(slots=True)
class RateLimits:
    """Rate limits of targets, each as the newest response states it.

    A limit holds for one incarnation: a target that has been restarted knows nothing of
    the limit that it named before.
    """

    _limit_by_target: OrderedDict[TargetId, RateLimit] = field(
        default_factory=OrderedDict
    )

    def record(self, target: TargetId, limit: RateLimit) -> bool:
        """Record a limit unless a newer one is known.

        :param target: Name of the target.
        :param limit: The limit.
        :return: Whether it is the newest one known.
        """
        held = self._limit_by_target.get(target)
        if held is None and limit.per_s is None:
            return True
        if held is not None and (
            (limit.incarnation, limit.observed_at)
            < (held.incarnation, held.observed_at)
        ):
            return False
        self._limit_by_target[target] = limit
        self._limit_by_target.move_to_end(target)
        if len(self._limit_by_target) > const.MAX_LIMITED_TARGETS:
            self._limit_by_target.popitem(last=False)
        return True

    def has_any(self) -> bool:
        """Whether any target names a limit, or did so before."""
        return bool(self._limit_by_target)

    def newest(self, target: TargetId) -> RateLimit | None:
        """Return the limit that the newest known incarnation of a target has named.

        :param target: Name of the target.
        :return: The limit, which may have ended; ``None`` if it never named one.
        """
        return self._limit_by_target.get(target)

    def get(self, target: TargetId, incarnation: Incarnation) -> RateLimit | None:
        """Return what is known of the limit of an incarnation of a target.

        :param target: Name of the target.
        :param incarnation: Its incarnation.
        :return: The limit, which may have ended; ``None`` if it never named one.
        """
        held = self._limit_by_target.get(target)
        return held if held is not None and held.incarnation == incarnation else None

    def per_s(self, target: TargetId, incarnation: Incarnation) -> float | None:
        """Return the rate limit of a target, in requests a second; ``None`` for none.

        :param target: Name of the target.
        :param incarnation: Its incarnation.
        """
        held = self.get(target, incarnation)
        return None if held is None else held.per_s

    def remove_unknown(self, known: IncarnationByTarget) -> list[TargetId]:
        """Remove the limits of targets that have been removed or restarted.

        :param known: Returns the present incarnation of a target; ``None`` if it isn't
            known.
        :return: Names of the targets whose limits were removed.
        """
        removed = [
            target
            for target, limit in self._limit_by_target.items()
            if (incarnation := known(target)) is None or incarnation > limit.incarnation
        ]
        for target in removed:
            del self._limit_by_target[target]
        return removed

    def limited(self) -> Iterator[tuple[TargetId, RateLimit]]:
        """Return the targets that name a limit, with it."""
        for target, limit in self._limit_by_target.items():
            if limit.per_s is not None:
                yield target, limit


def is_material_change(before: float | None, after: float | None) -> bool:
    """Whether a rate limit has begun, ended or changed by more than jitter.

    :param before: Previous limit, in requests a second; ``None`` for none.
    :param after: Present limit, in requests a second; ``None`` for none.
    """
    if before is None or after is None:
        return before is not after
    return abs(after - before) > const.MIN_ANNOUNCED_CHANGE * max(before, after)


@dataclass(slots=True)
class _TargetTokens:
    """Tokens of one target at one control instance.

    :param incarnation: Incarnation of the target.
    :param bucket: Its tokens.
    """

    incarnation: Incarnation
    bucket: TokenBucket

    def refill(self, rate_per_s: float, now: float) -> None:
        """Add the tokens of the time since the last call.

        :param rate_per_s: Tokens a second.
        :param now: The present time, in seconds.
        """
        self.bucket.refill(rate_per_s, 1.0 + rate_per_s * const.MAX_BURST_S, now)


@dataclass(slots=True)
class TokenIssuer:
    """Tokens that one control instance issues for the targets that name a rate limit.

    Each control instance issues an equal share of a limit. The shares are fixed, so
    that control instances that are cut off from each other or have just been restarted
    can't exceed the limit together.

    :param min_per_s: Requests a second that a target gets tokens for even if it names a
        lower limit, so that the end of the limit is noticed.
    :param limits: Rate limits that are known.
    """

    min_per_s: float
    limits: RateLimits = field(default_factory=RateLimits)
    _tokens_by_target: OrderedDict[TargetId, _TargetTokens] = field(
        default_factory=OrderedDict
    )

    def record(
        self, target: TargetId, limit: RateLimit, share: float, now: float
    ) -> bool:
        """Record a limit unless a newer one is known.

        :param target: Name of the target.
        :param limit: The limit.
        :param share: Share of each limit that this control instance issues.
        :param now: The present time, in seconds.
        :return: Whether it is the newest one known.
        """
        held, tokens = self.limits.newest(target), self._tokens_by_target.get(target)
        if held is not None and tokens is not None:
            tokens.refill(self._rate_per_s(held, share), now)
        if not self.limits.record(target, limit):
            return False
        if limit.per_s is None:
            self._tokens_by_target.pop(target, None)
        elif tokens is None or tokens.incarnation != limit.incarnation:
            self._tokens_by_target[target] = _TargetTokens(
                limit.incarnation, TokenBucket(now + const.INITIAL_PAUSE_S)
            )
            if len(self._tokens_by_target) > const.MAX_LIMITED_TARGETS:
                self._tokens_by_target.popitem(last=False)
        return True

    def remove_unknown(self, known: IncarnationByTarget) -> None:
        """Remove limits and tokens of targets that have been removed or restarted.

        :param known: Returns the present incarnation of a target; ``None`` if it isn't
            known.
        """
        for target in self.limits.remove_unknown(known):
            self._tokens_by_target.pop(target, None)

    def take_token(self, target: TargetId, share: float, now: float) -> TokenDecision:
        """Take a token if there is one.

        :param target: Name of the target.
        :param share: Share of each limit that this control instance issues.
        :param now: The present time, in seconds.
        """
        limit = self.limits.newest(target)
        tokens = self._tokens_by_target.get(target)
        if limit is None or limit.per_s is None or tokens is None:
            return TokenDecision(is_granted=True)
        rate_per_s = self._rate_per_s(limit, share)
        if rate_per_s <= 0:
            return TokenDecision(
                is_granted=False, retry_after_s=const.UNKNOWN_SHARE_RETRY_S
            )
        tokens.refill(rate_per_s, now)
        if tokens.bucket.take(1):
            return TokenDecision(is_granted=True)
        return TokenDecision(
            is_granted=False,
            retry_after_s=tokens.bucket.next_token_s(rate_per_s, now),
        )

    def _rate_per_s(self, limit: RateLimit, share: float) -> float:
        """Return the tokens a second that this control instance issues for a target."""
        return max(limit.per_s or 0.0, self.min_per_s) * share
