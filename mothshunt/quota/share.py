"""Share of each quota that one control instance may issue."""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

from mothshunt.core.types import InstanceId
from mothshunt.quota import const


@dataclass(slots=True)
class IssuerShare:
    """Share of each quota that this control instance may issue.

    The shares of all control instances must add up to 1 at most, although they learn of
    a change of their membership at different times and one that has been replaced may
    not learn of it at all. So an instance issues nothing once a majority has not
    confirmed its view for ``MAX_CONFIRMED_AGE_S``; and for as long after a change, a
    share doesn't rise and a new member issues nothing.

    :param own_id: Name of this instance.
    :param was_member: Whether its disk showed it as a member at its start. The number
        of members may have fallen by one just before that, so it issues a little less
        at first.
    """

    own_id: InstanceId
    was_member: bool = False
    _counts: deque[tuple[float, int]] = field(default_factory=deque)
    _confirmed_at: float = float("-inf")
    _member_since: float | None = None
    #: Whether there may have been quotas when this instance became a member; ``None``
    #: until that is known. Without any, no other instance can have issued tokens.
    _had_quotas: bool | None = None

    def record(
        self,
        members: Collection[InstanceId],
        confirmed_at: float | None,
        now: float,
        *,
        log_length: int,
        has_quotas: bool,
    ) -> None:
        """Record the present view of the membership.

        :param members: Control instances, as known here.
        :param confirmed_at: Time at which a majority last confirmed that what is known
            here is current, in seconds; ``None`` if none has yet.
        :param now: The present time, in seconds.
        :param log_length: Number of entries of the replicated log, as known here.
        :param has_quotas: Whether any workspace known here has a quota.
        """
        if not self._counts or self._counts[-1][1] != len(members):
            self._counts.append((now, len(members)))
        # A count holds until the next one: the last that began before the time is kept.
        while len(self._counts) > 1 and _is_past(self._counts[1][0], now):
            self._counts.popleft()
        if self.own_id not in members:
            if self._member_since is not None:
                self.was_member = False
            self._member_since, self._had_quotas = None, None
            return
        if self._member_since is None:
            self._member_since = now
            if log_length <= const.MAX_FOUNDING_ENTRIES:
                self._had_quotas = False
        if confirmed_at is not None:
            self._confirmed_at = confirmed_at
            if self._had_quotas is None:
                self._had_quotas = has_quotas

    def share(self, now: float) -> float:
        """Return the share, from 0 for none to 1.

        :param now: The present time, in seconds.
        """
        if self._member_since is None or _is_past(self._confirmed_at, now):
            return 0.0
        largest = max(count for _, count in self._counts)
        if _is_past(self._member_since, now) or not self._had_quotas or largest == 1:
            return 1 / largest
        return 1 / (largest + 1) if self.was_member else 0.0

    @property
    def is_member(self) -> bool:
        """Whether this instance is a control instance, as known here."""
        return self._member_since is not None

    def has_no_past(self, now: float) -> bool:
        """Whether no token can have been issued before for a workspace new to this one.

        It isn't so for some time after a restart: the workspace may have been known
        before it.

        :param now: The present time, in seconds.
        """
        if self._member_since is None:
            return False
        is_new = self._had_quotas is False and not self.was_member
        return is_new or _is_past(self._member_since, now)


def _is_past(at: float, now: float) -> bool:
    return now - at > const.MAX_CONFIRMED_AGE_S
