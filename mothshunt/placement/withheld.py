"""Notices by which targets asked one entry instance for no more requests."""

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from typing import Any

from mothshunt.core.types import Incarnation, TargetId
from mothshunt.placement import const
from mothshunt.placement.model import RoutableTarget, TargetNotice


@dataclass(frozen=True, slots=True)
class _LeaveNotice:
    """Announcement of a target, in a response, that it leaves.

    :param incarnation: Newest incarnation that is known to leave.
    :param received_at: Time of the response, in seconds.
    :param possibly_leaving: Newer incarnation that may have sent the response;
        ``None`` for none.
    """

    incarnation: Incarnation
    received_at: float
    possibly_leaving: Incarnation | None = None


@dataclass(frozen=True, slots=True)
class _PauseNotice:
    """Pause that a target asked for.

    :param incarnation: Incarnation that asked for it.
    :param until: End of the pause, in seconds.
    """

    incarnation: Incarnation
    until: float


@dataclass(slots=True)
class TargetNotices:
    """Leave and pause notices of targets, which no later renewal revokes.

    A notice holds for one incarnation: a target that has been restarted knows nothing
    of the notices that it sent before.
    """

    _leave_by_target: OrderedDict[TargetId, _LeaveNotice] = field(
        default_factory=OrderedDict
    )
    _pause_by_target: OrderedDict[TargetId, _PauseNotice] = field(
        default_factory=OrderedDict
    )

    def record(self, target: RoutableTarget, notice: TargetNotice, now: float) -> bool:
        """Record a notice of a target.

        :param target: The target, as it was when the request was sent.
        :param notice: What the target asked for.
        :param now: The present time, in seconds.
        :return: Whether the target was not known to leave before, and is now.
        """
        if notice.pause_s > 0:
            self._record_pause(target, now + min(notice.pause_s, const.MAX_PAUSE_S))
        if not notice.is_leaving or self._is_known_to_leave(
            target.id, target.incarnation
        ):
            return False
        self._leave_by_target[target.id] = _LeaveNotice(target.incarnation, now)
        _evict_oldest(self._leave_by_target)
        return True

    def _record_pause(self, target: RoutableTarget, until: float) -> None:
        held = self._pause_by_target.get(target.id)
        if held is not None and held.incarnation == target.incarnation:
            until = max(until, held.until)
        elif held is not None and held.incarnation > target.incarnation:
            return
        self._pause_by_target[target.id] = _PauseNotice(target.incarnation, until)
        _evict_oldest(self._pause_by_target)

    def is_leaving(
        self, target: TargetId, incarnation: Incarnation, renewed_at: float, now: float
    ) -> bool:
        """Whether an incarnation of a target announced that it leaves, or may have.

        A response does not name the incarnation that sent it; only renewals do. If a
        newer incarnation had renewed its registration before the response was received,
        that incarnation sent it. If its first renewal is received shortly after the
        response, it may have sent it, as that renewal may have been delayed.

        :param target: Name of the target.
        :param incarnation: Its incarnation by its newest renewal.
        :param renewed_at: Time of that renewal, in seconds.
        :param now: The present time, in seconds.
        """
        held = self._leave_by_target.get(target)
        if held is None:
            return False
        if incarnation > held.incarnation and incarnation != held.possibly_leaving:
            if renewed_at <= held.received_at:
                held = _LeaveNotice(incarnation, held.received_at)
            elif renewed_at <= held.received_at + const.MAX_RENEWAL_DELAY_S:
                held = replace(held, possibly_leaving=incarnation)
            self._leave_by_target[target] = held
        if incarnation == held.possibly_leaving:
            return now < held.received_at + const.UNCERTAIN_LEAVE_S
        return incarnation <= held.incarnation

    def _is_known_to_leave(self, target: TargetId, incarnation: Incarnation) -> bool:
        held = self._leave_by_target.get(target)
        return held is not None and incarnation <= held.incarnation

    def paused_until(self, target: RoutableTarget) -> float:
        """Return the end of the pause that a target asked for, in seconds.

        :param target: The target.
        """
        held = self._pause_by_target.get(target.id)
        if held is None or held.incarnation != target.incarnation:
            return float("-inf")
        return held.until


def _evict_oldest(notice_by_target: OrderedDict[TargetId, Any]) -> None:
    if len(notice_by_target) > const.MAX_TARGETS_WITH_NOTICES:
        notice_by_target.popitem(last=False)
