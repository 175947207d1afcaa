"""Distribution of the requests of a route over its services."""

from dataclasses import dataclass, field

from mothshunt.core.types import RouteName, ServiceName
from mothshunt.routing.model import Route, WeightedService


@dataclass(slots=True)
class _Credit:
    """Hold what each service of a route is owed.

    :param parts: Services and weights that the credits were gathered under.
    :param by_service: Requests that each service is owed.
    """

    parts: tuple[WeightedService, ...]
    by_service: dict[ServiceName, float]


@dataclass(slots=True)
class WeightedSplit:
    """Give each service of a route its part of the requests, by smooth round-robin.

    After any number of requests no service is off its part by more than one request.
    """

    _credit_by_route: dict[RouteName, _Credit] = field(default_factory=dict)

    def next_service(self, route: Route) -> ServiceName:
        """Return the service for the next request of a route.

        :param route: The route; the weights of its services add up to more than 0.
        """
        parts = route.services
        if len(parts) == 1:
            return parts[0].service
        credit = self._credit_by_route.get(route.name)
        if credit is None or credit.parts != parts:
            credit = _Credit(parts, {part.service: 0.0 for part in parts})
            self._credit_by_route[route.name] = credit
        total = sum(part.weight for part in parts)
        for part in parts:
            credit.by_service[part.service] += part.weight / total
        chosen = max(credit.by_service, key=credit.by_service.__getitem__)
        credit.by_service[chosen] -= 1.0
        return chosen
