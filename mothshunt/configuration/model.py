"""Data model of the configuration that other slices use."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from mothshunt.contract.model import Contract
from mothshunt.core.types import CustomerId, InstanceId, Revision
from mothshunt.drain.model import Drain, DrainSet
from mothshunt.membership.model import InstanceRecord
from mothshunt.routing.model import RoutingTable

#: Revision of an empty configuration.
NO_REVISION = Revision(0)


class Section(Enum):
    """Kind of a configuration item."""

    CONTRACT = "contract"
    DRAIN = "drain"
    INSTANCE = "instance"
    OPERATOR = "operator"
    ROUTE = "route"
    SERVICE = "service"
    WORKSPACE = "workspace"
    REQUEST_LIMITS = "request_limits"
    EVACUATION = "evacuation"
    RETIRED_TARGET = "retired_target"


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemKey:
    """Key of a configuration item.

    :param section: Kind of the item.
    :param name: Name in its section, such as a customer, ``kind:name`` of a drain, an
        instance or an operator.
    """

    section: Section
    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """Decoded configuration at one revision.

    :param revision: Revision of the last change that is included.
    """

    revision: Revision = NO_REVISION
    contract_by_customer: Mapping[CustomerId, Contract] = field(default_factory=dict)
    drain_by_name: Mapping[str, Drain] = field(default_factory=dict)
    instance_by_id: Mapping[InstanceId, InstanceRecord] = field(default_factory=dict)
    drains: DrainSet = field(default_factory=DrainSet)
    routing: RoutingTable = field(default_factory=RoutingTable)


class ConfigurationSource(Protocol):
    """Source of the configuration in force at this instance."""

    def current(self) -> Configuration:
        """Return the configuration in force; one object for each revision."""
        ...
