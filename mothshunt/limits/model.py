"""Limits and permits that the other slices use."""

from dataclasses import dataclass
from enum import Enum

from mothshunt.core.types import CustomerId


class LimitKind(Enum):
    """Subject of a limit: a region, a link between regions, or shifted traffic."""

    REGION = "region"
    LINK = "link"
    SHIFT = "shift"


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitKey:
    """Identity of one limit of one contract.

    :param customer: Customer whose contract sets the limit.
    :param kind: Subject of the limit.
    :param name: Name of the region; ``from>to`` for a link; empty for the shift cap.
    """

    customer: CustomerId
    kind: LimitKind
    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Permit:
    """Right to have one request in flight under each of its limits.

    :param number: Unique in this process.
    :param keys: Limits under which the request counts.
    """

    number: int
    keys: tuple[LimitKey, ...]
