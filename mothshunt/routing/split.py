"""Distribution of the requests of a route over its services by weight."""

from dataclasses import dataclass, field

from mothshunt.core.types import RouteName, ServiceName
from mothshunt.routing.model import Route, WeightedService


@dataclass(slots=True)
class _RouteCredits:
    """Credits of the services of one route, in requests.

    :param parts: Services and weights for which the credits were computed.
    :param by_service: Requests that each service should have had beyond those that
        it got.
    """

    parts: tuple[WeightedService, ...]
    by_service: dict[ServiceName, float]


@dataclass(slots=True)
class WeightedSplit:
    """Smooth weighted round-robin over the services of each route.

    At any time, the requests of a service differ from its part by at most one.
    """

    _credits_by_route: dict[RouteName, _RouteCredits] = field(default_factory=dict)

    def next_service(self, route: Route) -> ServiceName:
        """Return the service that takes the next request of a route.

        :param route: The route; the sum of the weights is above 0.
        """
        parts = route.services
        if len(parts) == 1:
            return parts[0].service
        route_credits = self._credits_by_route.get(route.name)
        if route_credits is None or route_credits.parts != parts:
            route_credits = _RouteCredits(parts, {part.service: 0.0 for part in parts})
            self._credits_by_route[route.name] = route_credits
        total = sum(part.weight for part in parts)
        for part in parts:
            route_credits.by_service[part.service] += part.weight / total
        chosen = max(route_credits.by_service, key=route_credits.by_service.__getitem__)
        route_credits.by_service[chosen] -= 1.0
        return chosen
