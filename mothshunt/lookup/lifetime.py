"""How long callers may still use an entry instance that look-ups named."""

import math
from dataclasses import dataclass, field

from mothshunt.configuration.model import Configuration


@dataclass(slots=True)
class LifetimeBound:
    """Bound the lifetimes of all answers that any instance has given.

    Every instance answers with lifetimes of the contracts in force. When a contract
    lowers its lifetime, answers with the former one last on for that time.
    """

    _current_s: float = 0.0
    _configuration: Configuration | None = None
    _former_end: float = field(default=-math.inf)

    def observe(self, configuration: Configuration, now: float) -> None:
        """Take over the configuration in force; cheap when it has not changed.

        :param configuration: Configuration in force at this instance.
        :param now: Monotonic time, in seconds.
        """
        if configuration is self._configuration:
            return
        self._configuration = configuration
        self._former_end = max(self._former_end, now + self._current_s)
        contracts = configuration.contract_by_customer.values()
        self._current_s = max((item.lookup_lifetime_s for item in contracts), default=0)

    def last_use(self, unnamed_since: float) -> float:
        """Return when the last caller may still follow an answer, in seconds.

        :param unnamed_since: Monotonic time from which no instance names this one
            any more, in seconds: its leaving state and the time to spread it.
        """
        return max(self._former_end, unnamed_since + self._current_s)
