"""Rate limits of emulated targets, the tokens for them, and what came all the same."""

from bisect import bisect_right
from dataclasses import dataclass, field

from bench.load.scenario import Scenario
from mothshunt.core.types import AvailabilityZoneId, InstanceId, TargetId
from mothshunt.placement.model import RoutableTarget
from mothshunt.rate_limit.model import RateLimit, TokenDecision
from mothshunt.rate_limit.state import RateLimits, TokenIssuer
from mothshunt.settings.config import RoutingSettings
from mothshunt.util.tokens import TokenSources

#: Control instances of a scenario, in its first zones in turn.
CONTROL_INSTANCES = 5
#: What a target may get in a window beyond its limit, and from when on; as on the
#: users' page.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_SLACK = 5
STABILITY_S = 3.0


@dataclass(slots=True, eq=False)
class EntryLimits:
    """Rate limits as one entry instance knows them; a ``RateLimitView``.

    :param controls: Control instances, nearest first.
    :param limits: Limits that are known.
    :param sources: Control instances that may have tokens.
    """

    controls: tuple[InstanceId, ...]
    limits: RateLimits = field(default_factory=RateLimits)
    sources: TokenSources = field(default_factory=TokenSources)

    def has_limits(self) -> bool:
        """Tell whether any target may name a limit."""
        return self.limits.has_any()

    def limit_per_s(self, target: RoutableTarget) -> float | None:
        """Return the limit of a target, in requests a second.

        :param target: The target.
        """
        return self.limits.per_s(target.id, target.incarnation)

    def next_token_at(self, target: RoutableTarget) -> float | None:
        """Return when there may be a token for a target, in seconds.

        :param target: The target.
        """
        return self.sources.next_token_at(target.id, self.controls)


class EmulatedControl:
    """Control instances that issue tokens.

    :param scenario: The scenario.
    """

    def __init__(self, scenario: Scenario) -> None:
        zones = list(scenario.region_by_zone)
        settings = RoutingSettings()
        self.zone_by_control: dict[InstanceId, AvailabilityZoneId] = {}
        self._issuer_by_control: dict[InstanceId, TokenIssuer] = {}
        for number in range(CONTROL_INSTANCES):
            control = InstanceId(f"control-{number}")
            self.zone_by_control[control] = zones[number % len(zones)]
            self._issuer_by_control[control] = TokenIssuer(
                settings.rate_limit_min_per_s
            )

    def nearest(
        self, scenario: Scenario, zone: AvailabilityZoneId
    ) -> tuple[InstanceId, ...]:
        """Return the control instances, nearest first.

        :param scenario: The scenario.
        :param zone: Availability zone of the entry instance.
        """
        return tuple(
            sorted(
                self.zone_by_control,
                key=lambda c: scenario.delay_s(zone, self.zone_by_control[c]),
            )
        )

    def learn(self, target: TargetId, limit: RateLimit, now: float) -> None:
        """Let all control instances know a limit.

        :param target: Name of the target.
        :param limit: The limit.
        :param now: The present time, in seconds.
        """
        for issuer in self._issuer_by_control.values():
            issuer.record(target, limit, 1 / CONTROL_INSTANCES, now)

    def take(self, control: InstanceId, target: TargetId, now: float) -> TokenDecision:
        """Take a token of one control instance.

        :param control: The control instance.
        :param target: Name of the target.
        :param now: The present time, in seconds.
        """
        issuer = self._issuer_by_control[control]
        return issuer.take_token(target, 1 / CONTROL_INSTANCES, now)


@dataclass(kw_only=True, slots=True)
class LimitedSpan:
    """Time for which a target names a limit.

    :param per_s: The limit, in requests a second.
    :param since: Begin, in seconds.
    :param until: End, in seconds.
    :param came_at: Times at which requests came, in seconds, in order.
    """

    per_s: float
    since: float
    until: float
    came_at: list[float] = field(default_factory=list)

    def excess(self) -> float:
        """Return the most requests in a window beyond what is allowed; 0 for none."""
        allowed = ALLOWED_FACTOR * self.per_s * WINDOW_S + ALLOWED_SLACK
        counts = (
            number + 1 - bisect_right(self.came_at, at - WINDOW_S)
            for number, at in enumerate(self.came_at)
            if at >= self.since + STABILITY_S
        )
        return max(0.0, max(counts, default=0) - allowed)

    def used_share(self) -> float:
        """Return the used share of the limit, from when on the bound holds."""
        begin = self.since + STABILITY_S
        count = sum(begin <= at <= self.until for at in self.came_at)
        return count / (self.per_s * (self.until - begin))
