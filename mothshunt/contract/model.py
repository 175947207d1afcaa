"""Contract of a customer: its services, capacities and limits of traffic."""

import re
from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import ConfigDict, Field

from mothshunt.core.const import ID_PATTERN
from mothshunt.core.types import CustomerId, Preference, RegionId, ServiceName

_STRICT = ConfigDict(extra="forbid")

Identifier = Annotated[str, Field(pattern=ID_PATTERN)]
Method = Literal["POST", "PUT", "PATCH", "DELETE", "OPTIONS"]

MAX_SERVICES = 256
MAX_REGIONS = 64
MAX_LINKS = MAX_REGIONS * (MAX_REGIONS - 1)
#: Most idempotent rules of one service.
MAX_IDEMPOTENT_RULES = 256

#: Methods that are idempotent for every service.
ALWAYS_IDEMPOTENT = frozenset({"GET", "HEAD"})


@dataclass(frozen=True, kw_only=True, slots=True)
class IdempotentRule:
    """Rule that makes requests repeatable, besides GET and HEAD.

    :param method: HTTP method.
    :param path: Path within the service; a trailing ``*`` matches any suffix.
    """

    __pydantic_config__ = _STRICT

    method: Method
    path: Annotated[str, Field(pattern=r"^/[^\s?#]*$", max_length=256)]

    def matches(self, method: str, path: str) -> bool:
        """Whether a request matches this rule.

        :param method: HTTP method in upper case.
        :param path: Path within the service, with a leading slash.
        """
        if method != self.method:
            return False
        pattern = re.escape(self.path).replace(r"\*", ".*")
        return re.fullmatch(pattern, path) is not None


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceContract:
    """Terms for one service of a customer.

    :param service: Name of the service.
    :param idempotent: Requests that may be repeated, besides GET and HEAD.
    :param request_timeout_ms: Longest time a request may take, in milliseconds.
    :param connections_per_target: Largest number of connections to one target from all
        entry instances together.
    :param cold_ramp_s: Seconds in which a new target's traffic rises to its full share.
    """

    __pydantic_config__ = _STRICT

    service: Annotated[ServiceName, Field(pattern=ID_PATTERN)]
    idempotent: Annotated[
        tuple[IdempotentRule, ...], Field(max_length=MAX_IDEMPOTENT_RULES)
    ] = ()
    request_timeout_ms: Annotated[int, Field(ge=50, le=120_000)] = 10_000
    connections_per_target: Annotated[int, Field(ge=1, le=10_000)] = 300
    cold_ramp_s: Annotated[float, Field(ge=0, le=600)] = 10.0

    def is_idempotent(self, method: str, path: str) -> bool:
        """Whether a request may be repeated.

        :param method: HTTP method in upper case.
        :param path: Path within the service, with a leading slash.
        """
        if method in ALWAYS_IDEMPOTENT:
            return True
        return any(rule.matches(method, path) for rule in self.idempotent)


@dataclass(frozen=True, kw_only=True, slots=True)
class RegionCapacity:
    """Limit of a customer's requests in one region.

    :param region: Name of the region.
    :param capacity: Largest number of requests in flight at targets of the region.
    """

    __pydantic_config__ = _STRICT

    region: Annotated[RegionId, Field(pattern=ID_PATTERN)]
    capacity: Annotated[int, Field(ge=1, le=1_000_000)]


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkLimit:
    """Limit of a customer's requests from one region to another.

    :param from_region: Region of the entry instance.
    :param to_region: Region of the target.
    :param capacity: Largest number of requests in flight over the link.
    """

    __pydantic_config__ = _STRICT

    from_region: Annotated[RegionId, Field(pattern=ID_PATTERN)]
    to_region: Annotated[RegionId, Field(pattern=ID_PATTERN)]
    capacity: Annotated[int, Field(ge=0, le=1_000_000)]


@dataclass(frozen=True, kw_only=True, slots=True)
class ShiftLimit:
    """Limit of a customer's traffic outside its home region.

    :param cap: Largest number of requests in flight outside their home regions.
    :param step: Largest increase of that number in one step.
    :param step_interval_s: Seconds between two steps.
    """

    __pydantic_config__ = _STRICT

    cap: Annotated[int, Field(ge=0, le=1_000_000)]
    step: Annotated[int, Field(ge=1, le=1_000_000)]
    step_interval_s: Annotated[float, Field(gt=0, le=600)] = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryBudget:
    """Limit of the retries of each entry instance.

    :param ratio: Retries allowed for each first attempt.
    :param minimum_per_s: Retries allowed per second regardless of the first attempts.
    """

    __pydantic_config__ = _STRICT

    ratio: Annotated[float, Field(ge=0, le=1)] = 0.1
    minimum_per_s: Annotated[float, Field(ge=0, le=1000)] = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Contract:
    """Contract between a customer and the operators.

    :param customer: Name of the customer.
    :param weighs: What to prefer in the choice of a target, latency or headroom.
    :param lookup_lifetime_s: Seconds for which a caller may cache a look-up answer.
    :param services: Services of the customer.
    :param regions: Capacity of each region.
    :param links: Limits of links; pairs of regions that are not listed have no limit.
    :param shift: Limit of the traffic outside its home region.
    :param retry: Budget of retries.
    """

    __pydantic_config__ = _STRICT

    customer: Annotated[CustomerId, Field(pattern=ID_PATTERN)]
    weighs: Preference
    lookup_lifetime_s: Annotated[float, Field(ge=0.5, le=300)] = 5.0
    services: Annotated[
        tuple[ServiceContract, ...], Field(min_length=1, max_length=MAX_SERVICES)
    ]
    regions: Annotated[
        tuple[RegionCapacity, ...], Field(min_length=1, max_length=MAX_REGIONS)
    ]
    links: Annotated[tuple[LinkLimit, ...], Field(max_length=MAX_LINKS)] = ()
    shift: ShiftLimit
    retry: RetryBudget = RetryBudget()

    def service(self, name: ServiceName) -> ServiceContract | None:
        """Return the terms of one service; ``None`` if it is not in the contract.

        :param name: Name of the service.
        """
        return next((item for item in self.services if item.service == name), None)

    def capacity(self, region: RegionId) -> int:
        """Return the capacity of a region; 0 if the contract sets none.

        :param region: Name of the region.
        """
        return next((r.capacity for r in self.regions if r.region == region), 0)

    def link_limit(
        self, from_region: RegionId, to_region: RegionId
    ) -> LinkLimit | None:
        """Return the limit of a link; ``None`` if the contract sets none.

        :param from_region: Region of the entry instance.
        :param to_region: Region of the target.
        """
        for item in self.links:
            if item.from_region == from_region and item.to_region == to_region:
                return item
        return None
