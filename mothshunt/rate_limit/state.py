"""Deciding functions of the rate_limit slice, without any I/O."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from mothshunt.core.types import Incarnation, TargetId
from mothshunt.rate_limit import const
from mothshunt.rate_limit.model import RateLimit


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
    return abs(after - before) > const.MIN_LOGGED_CHANGE * max(before, after)
