"""Limits and permits as the other slices see them."""

from dataclasses import dataclass
from enum import Enum

from mothshunt.core.types import CustomerId


class LimitKind(Enum):
    """What a limit is set on."""

    REGION = "region"
    LINK = "link"
    SHIFT = "shift"


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitKey:
    """Name one limit of one contract.

    :param customer: Customer whose contract sets the limit.
    :param kind: What the limit is set on.
    :param name: Region; ``from>to`` of a link; empty for the shift cap.
    """

    customer: CustomerId
    kind: LimitKind
    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Permit:
    """Hold room for one request in flight under each of some limits.

    :param number: Unique in this process.
    :param keys: Limits under which room was taken.
    """

    number: int
    keys: tuple[LimitKey, ...]
