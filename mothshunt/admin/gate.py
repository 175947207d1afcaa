"""Authorization of requests to the administration API."""

from collections.abc import Sequence

from expression import Error, Ok, Result

from mothshunt.access.model import AccessRole, Operator
from mothshunt.access.state import identify, require_role
from mothshunt.admin.const import (
    DEFAULT_TIMEOUT_MS,
    MS_PER_S,
    OPERATORS_FRESH_S,
    OPERATORS_STALE_S,
)
from mothshunt.admin.messages import Scope
from mothshunt.admin.shared_read import SharedRead
from mothshunt.configuration.model import Section
from mothshunt.configuration.service import ConfigurationService, Item
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.types import CustomerId
from mothshunt.helpers.log import get_logger
from mothshunt.util import schema

_LOGGER = get_logger("admin")


class Gate:
    """Find out who asks and whether they may.

    :param configuration: Holds the operators.
    :param bootstrap_token_sha256: Hash of the token of the first administrator.
    :param clock: Tells the age of the operators last read.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationService,
        bootstrap_token_sha256: str | None,
        clock: Clock,
    ) -> None:
        self._read = SharedRead(
            lambda: configuration.async_items(
                Section.OPERATOR, DEFAULT_TIMEOUT_MS / MS_PER_S
            )
        )
        self._bootstrap_token_sha256 = bootstrap_token_sha256
        self._clock = clock
        self._operators: tuple[Operator, ...] = ()
        self._read_at: float | None = None

    async def async_admit(
        self,
        token: str | None,
        role: AccessRole,
        scope: Scope,
        customer: CustomerId | None,
    ) -> Result[Operator, Failure]:
        """Return the operator of a token if it has the role that a route needs.

        :param token: Token of the request.
        :param role: Role that the route needs.
        :param scope: What the role is needed for.
        :param customer: Customer that the path names.
        """
        identified = await self._async_identify(token, role)
        if identified.is_error():
            return identified
        operator = identified.ok
        if scope is Scope.ANY and operator.has_role_for_any_customer(role):
            return Ok(operator)
        return require_role(operator, role, customer).map(lambda _: operator)

    async def _async_identify(
        self, token: str | None, role: AccessRole
    ) -> Result[Operator, Failure]:
        # The bootstrap administrator gets in without a majority, to repair one.
        first = identify((), self._bootstrap_token_sha256, token)
        if first.is_ok() or not token:
            return first
        reads_only = role is AccessRole.READ
        cached = identify(self._operators, None, token)
        if reads_only and cached.is_ok() and self._age_s() <= OPERATORS_FRESH_S:
            return cached
        failure = await self._async_refresh()
        if failure is None:
            return identify(self._operators, None, token)
        # The state must be readable also while no majority answers.
        if reads_only and self._age_s() <= OPERATORS_STALE_S:
            return cached
        return Error(failure)

    async def _async_refresh(self) -> Failure | None:
        """Read the operators as a majority holds them; return why that failed."""
        started_at = self._clock.monotonic()
        items = await self._read.async_get()
        if items.is_error():
            return items.error
        self._operators = operators_of(items.ok)
        self._read_at = started_at
        return None

    def _age_s(self) -> float:
        if self._read_at is None:
            return float("inf")
        return self._clock.monotonic() - self._read_at


def operators_of(items: Sequence[Item]) -> tuple[Operator, ...]:
    """Decode the operators; one that can't be decoded is logged and has no access.

    :param items: Items of the section ``operator``.
    """
    operators = []
    for item in items:
        decoded = schema.from_json(Operator, item.value or b"")
        if decoded.is_ok():
            operators.append(decoded.ok)
            continue
        _LOGGER.error("An operator can't be decoded", operator=item.key.name)
    return tuple(operators)
