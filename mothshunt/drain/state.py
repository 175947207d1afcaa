"""When an instance that leaves may stop."""

from dataclasses import dataclass

from mothshunt.configuration.model import Configuration
from mothshunt.drain import const


@dataclass(frozen=True, kw_only=True, slots=True)
class LeavePlan:
    """Say until when an instance that leaves goes on to take requests.

    :param serve_until: Monotonic time, in seconds, after which no caller's cached
        look-up names the instance.
    """

    serve_until: float

    @classmethod
    def from_configuration(
        cls, configuration: Configuration, now: float
    ) -> "LeavePlan":
        """Plan the leave of an instance.

        :param configuration: The configuration in force.
        :param now: Monotonic time, in seconds.
        """
        lifetimes_s = [
            contract.lookup_lifetime_s
            for contract in configuration.contract_by_customer.values()
        ]
        longest_s = max(lifetimes_s, default=0.0)
        margin_s = const.SPREAD_MARGIN_S if lifetimes_s else 0.0
        return cls(serve_until=now + longest_s + margin_s)
