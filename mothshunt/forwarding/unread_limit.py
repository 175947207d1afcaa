"""Limit on the bytes of responses that callers leave unread."""

from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Caller = TypeVar("Caller", bound=Hashable)


@dataclass(frozen=True, slots=True)
class Unread:
    """Bytes that wait for a caller.

    :param size: Number of bytes.
    :param unchanged_since: Time since which it is the same number, in seconds.
    """

    size: int
    unchanged_since: float


@dataclass(kw_only=True, slots=True)
class UnreadLimit(Generic[Caller]):
    """Limit on the unread bytes of all callers together.

    It is enforced against callers that read nothing for some time: those that read
    slowly get their responses.

    :param max_bytes: Unread bytes that are kept.
    :param stall_s: Time without a change after which a caller reads nothing, in
        seconds. Buffers of the operating system hide reads for a while.
    """

    max_bytes: int
    stall_s: float
    _unread_by_caller: dict[Caller, Unread] = field(default_factory=dict)

    def check(self, size_by_caller: Mapping[Caller, int], now: float) -> list[Caller]:
        """Return the callers to disconnect, those that have read nothing longest first.

        :param size_by_caller: Unread bytes of each caller.
        :param now: The present time, in seconds.
        """
        before = self._unread_by_caller
        self._unread_by_caller = {}
        for caller, size in size_by_caller.items():
            if size == 0:
                continue
            known = before.get(caller)
            if known is None or known.size != size:
                known = Unread(size, now)
            self._unread_by_caller[caller] = known
        excess = sum(size_by_caller.values()) - self.max_bytes
        if excess <= 0:
            return []
        disconnected = []
        for caller, unread in sorted(
            self._unread_by_caller.items(), key=lambda item: item[1].unchanged_since
        ):
            if excess <= 0 or now - unread.unchanged_since < self.stall_s:
                break
            excess -= unread.size
            disconnected.append(caller)
        return disconnected
