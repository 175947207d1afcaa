"""Drains as the other slices see them."""

from dataclasses import dataclass
from enum import Enum


class DrainKind(Enum):
    """What a drain takes out of service."""

    TARGET = "target"
    INSTANCE = "instance"
    AVAILABILITY_ZONE = "availability_zone"
    REGION = "region"


@dataclass(frozen=True, kw_only=True, slots=True)
class Drain:
    """Ask for something to get no new work.

    :param kind: What is drained.
    :param name: Identifier of the target, instance, availability zone or region.
    :param reason: Text for other operators.
    """

    kind: DrainKind
    name: str
    reason: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainSet:
    """Hold all drains in force, by what they name."""

    targets: frozenset[str] = frozenset()
    instances: frozenset[str] = frozenset()
    availability_zones: frozenset[str] = frozenset()
    regions: frozenset[str] = frozenset()

    @classmethod
    def from_drains(cls, drains: list[Drain]) -> "DrainSet":
        """Group drains by kind.

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
