"""Token buckets, and the choice of the instance to ask for a token.

Shared by the rate limits of targets (``rate_limit``) and the quotas of workspaces
(``quota``). Both divide a rate into fixed shares of the control instances, so that no
agreement is needed and a lost control instance only issues less.
"""

import math
from collections import OrderedDict
from collections.abc import Hashable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from mothshunt.core.types import InstanceId

#: Time for which a control instance that has not answered is not asked for tokens, in
#: seconds.
CONTROL_BACKOFF_S = 2.0
#: Number of keys for which denials are remembered.
MAX_KEYS = 20_000

K = TypeVar("K", bound=Hashable)


@dataclass(slots=True)
class TokenBucket:
    """Tokens of one key at one control instance.

    :param updated_at: Time up to which tokens have been added, in seconds.
    :param level: Number of tokens.
    """

    updated_at: float
    level: float = 0.0

    def refill(self, rate_per_s: float, capacity: float, now: float) -> None:
        """Add the tokens of the time since the last call.

        :param rate_per_s: Tokens a second.
        :param capacity: Largest number of tokens.
        :param now: The present time, in seconds.
        """
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        self.level = min(capacity, self.level + elapsed_s * rate_per_s)

    def take(self, count: int) -> int:
        """Take whole tokens.

        :param count: Number of tokens wanted.
        :return: Number of tokens taken; 0 if there is none.
        """
        taken = min(count, math.floor(self.level))
        self.level -= taken
        return taken

    def next_token_s(self, rate_per_s: float, now: float) -> float:
        """Return the time until the bucket holds a token, in seconds.

        :param rate_per_s: Tokens a second; above 0.
        :param now: The present time, in seconds.
        """
        missing = max(0.0, 1.0 - self.level)
        return self.updated_at - now + missing / rate_per_s


@dataclass(slots=True)
class TokenSources(Generic[K]):
    """Control instances that an entry instance may ask for tokens.

    One that has denied a token for a key is not asked for that key until its next
    token, and one that has not answered is not asked for a while.
    """

    _retry_at_by_control_by_key: OrderedDict[K, dict[InstanceId, float]] = field(
        default_factory=OrderedDict
    )
    _backoff_until_by_control: dict[InstanceId, float] = field(default_factory=dict)

    def choose_control(
        self, key: K, controls: Iterable[InstanceId], now: float
    ) -> InstanceId | None:
        """Return the control instance to ask for a token; ``None`` if there is none.

        :param key: What the token is for.
        :param controls: Connected control instances, nearest first.
        :param now: The present time, in seconds.
        """
        return next((c for c in controls if self._retry_at(key, c) <= now), None)

    def next_token_at(self, key: K, controls: Sequence[InstanceId]) -> float | None:
        """Return when the first control instance may have a token, in seconds.

        :param key: What the token is for.
        :param controls: Connected control instances.
        :return: The time, possibly past; ``None`` without any control instance.
        """
        times = (self._retry_at(key, control) for control in controls)
        return min(times, default=None)

    def _retry_at(self, key: K, control: InstanceId) -> float:
        denied = self._retry_at_by_control_by_key.get(key, {})
        return max(
            denied.get(control, float("-inf")),
            self._backoff_until_by_control.get(control, float("-inf")),
        )

    def record_denial(self, key: K, control: InstanceId, retry_at: float) -> None:
        """Record that a control instance has no token.

        :param key: What the token is for.
        :param control: Name of the control instance.
        :param retry_at: Time of its next token, in seconds.
        """
        held = self._retry_at_by_control_by_key.setdefault(key, {})
        held[control] = retry_at
        self._retry_at_by_control_by_key.move_to_end(key)
        if len(self._retry_at_by_control_by_key) > MAX_KEYS:
            self._retry_at_by_control_by_key.popitem(last=False)

    def has_denials(self, key: K) -> bool:
        """Whether any control instance has denied a token.

        :param key: What the token is for.
        """
        return key in self._retry_at_by_control_by_key

    def record_silence(self, control: InstanceId, now: float) -> None:
        """Record that a control instance has not answered a token request.

        :param control: Name of the control instance.
        :param now: The present time, in seconds.
        """
        self._backoff_until_by_control[control] = now + CONTROL_BACKOFF_S

    def forget_denials(self, key: K) -> None:
        """Forget the denials for a key, as its limit has changed.

        :param key: What the tokens are for.
        """
        self._retry_at_by_control_by_key.pop(key, None)
