"""Drains that the other slices use."""

from dataclasses import dataclass
from enum import Enum


class DrainKind(Enum):
    """Kind of thing that a drain takes out of service."""

    TARGET = "target"
    INSTANCE = "instance"
    AVAILABILITY_ZONE = "availability_zone"
    REGION = "region"


@dataclass(frozen=True, kw_only=True, slots=True)
class Drain:
    """Order that a target, instance, availability zone or region gets no new requests.

    :param kind: Kind of thing that is drained.
    :param name: Identifier of the target, instance, availability zone or region.
    :param reason: Explanation for other operators.
    """

    kind: DrainKind
    name: str
    reason: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainSet:
    """Names of the drained targets, instances, availability zones and regions."""

    targets: frozenset[str] = frozenset()
    instances: frozenset[str] = frozenset()
    availability_zones: frozenset[str] = frozenset()
    regions: frozenset[str] = frozenset()

    @classmethod
    def from_drains(cls, drains: list[Drain]) -> "DrainSet":
        """Return the names in a list of drains, grouped by kind.

        :param drains: Drains in force.
        """

        def names(kind: DrainKind) -> frozenset[str]:
            return frozenset(drain.name for drain in drains if drain.kind is kind)

        return cls(
            targets=names(DrainKind.TARGET),
            instances=names(DrainKind.INSTANCE),
            availability_zones=names(DrainKind.AVAILABILITY_ZONE),
            regions=names(DrainKind.REGION),
        )
