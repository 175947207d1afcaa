"""Operators and their roles."""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated

from pydantic import ConfigDict, Field

from mothshunt.access.const import ALL_CUSTOMERS
from mothshunt.core.const import ID_PATTERN
from mothshunt.core.types import CustomerId, OperatorId

_STRICT = ConfigDict(extra="forbid")

TokenHash = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
GrantScope = Annotated[str, Field(pattern=rf"^\*$|{ID_PATTERN}")]


class AccessRole(Enum):
    """Role of an operator; each role includes the ones before it."""

    READ = "read"
    DRAIN = "drain"
    CHANGE = "change"
    ADMINISTER = "administer"

    def includes(self, needed: "AccessRole") -> bool:
        """Whether this role grants what another one grants.

        :param needed: Role that is required.
        """
        order = list(AccessRole)
        return order.index(self) >= order.index(needed)


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Role of an operator for one customer or for all.

    :param customer: Name of the customer; ``*`` for all customers and for what
        concerns the deployment as a whole.
    :param role: Role that is granted.
    """

    __pydantic_config__ = _STRICT

    customer: GrantScope
    role: AccessRole


@dataclass(frozen=True, kw_only=True, slots=True)
class Operator:
    """Operator as stored in the replicated configuration.

    :param id: Name of the operator.
    :param token_sha256: SHA-256 of the operator's token, in hexadecimal digits.
    :param grants: Roles of the operator, each with its customer.
    """

    __pydantic_config__ = _STRICT

    id: Annotated[OperatorId, Field(pattern=ID_PATTERN)]
    token_sha256: TokenHash
    grants: tuple[Grant, ...]

    def has_role(self, needed: AccessRole, customer: CustomerId | None) -> bool:
        """Whether the operator has a role for a customer or the deployment.

        :param needed: Role that is required.
        :param customer: Customer concerned; ``None`` for the deployment as a whole.
        """
        return any(
            grant.role.includes(needed) and grant.customer in (ALL_CUSTOMERS, customer)
            for grant in self.grants
        )

    def has_role_for_any_customer(self, needed: AccessRole) -> bool:
        """Whether the operator has a role for at least one customer.

        :param needed: Role that is required.
        """
        return any(grant.role.includes(needed) for grant in self.grants)

    def administers_all(self) -> bool:
        """Whether the operator has the role ``administer`` for all customers."""
        return self.has_role(AccessRole.ADMINISTER, None)
