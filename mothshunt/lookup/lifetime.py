"""Time until which callers may use an entry instance that they learned by a look-up."""

import math
from dataclasses import dataclass, field

from mothshunt.configuration.model import Configuration


@dataclass(slots=True)
class AnswerExpiryBound:
    """Upper bound of the expiry of all answers that any instance has given.

    Every instance answers with the lifetimes of the contracts in force. After a
    contract has lowered its lifetime, callers may still hold answers with the former
    one until those expire.
    """

    _lifetime_s: float = 0.0
    _configuration: Configuration | None = None
    _former_expiry: float = field(default=-math.inf)

    def update(self, configuration: Configuration, now: float) -> None:
        """Apply the configuration in force; returns early if it has not changed.

        :param configuration: Configuration in force at this instance.
        :param now: Monotonic time, in seconds.
        """
        if configuration is self._configuration:
            return
        self._configuration = configuration
        self._former_expiry = max(self._former_expiry, now + self._lifetime_s)
        contracts = configuration.contract_by_customer.values()
        self._lifetime_s = max(
            (item.lookup_lifetime_s for item in contracts), default=0
        )

    def latest_expiry(self, unlisted_since: float) -> float:
        """Return the time at which the last answer with an entry instance expires.

        :param unlisted_since: Monotonic time from which no instance lists the entry
            instance in answers, in seconds. This is the time at which it began to leave
            plus the time in which all instances learn of that.
        """
        return max(self._former_expiry, unlisted_since + self._lifetime_s)
