"""The ledger as the dispatch slice uses it."""

from dataclasses import dataclass
from typing import Protocol

from expression import Result

from mothshunt.core.codes import Failure
from mothshunt.core.types import CustomerId, IdempotencyKey, ServiceName


@dataclass(frozen=True, kw_only=True, slots=True)
class LedgerKey:
    """Name one idempotency key.

    :param customer: Customer that is asked.
    :param service: Service that is asked.
    :param key: Key that the caller chose.
    """

    customer: CustomerId
    service: ServiceName
    key: IdempotencyKey


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyedRequest:
    """Name a request that may run at most once.

    :param key: Its idempotency key.
    :param fingerprint: Hash of method, path and body.
    """

    key: LedgerKey
    fingerprint: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class KeptAnswer:
    """Hold the first answer to a request.

    :param status: HTTP status.
    :param headers: Header fields that are kept.
    :param body: Body; ``None`` when it was too large to keep.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class HeldClaim(Protocol):
    """Hold the sole right to run a keyed request; settled at most once."""

    def record(self, answer: KeptAnswer) -> None:
        """Keep the first answer, in the background.

        :param answer: What the target answered.
        """
        ...

    def release(self) -> None:
        """Give the key back, in the background, as the request was not run."""
        ...


class KeyLedger(Protocol):
    """Keep idempotency keys so that each request runs at most once."""

    async def async_claim(
        self, request: KeyedRequest, deadline: float
    ) -> Result[HeldClaim | KeptAnswer, Failure]:
        """Claim a key durably.

        A claim that is neither recorded nor released counts as outcome unknown
        after the deadline.

        :param request: The request.
        :param deadline: Monotonic time at which the request ends, in seconds.
        :return: The claim, committed and owned by this call alone; or the first
            answer; or a failure, after which the request must not be dispatched.
        """
        ...

    async def async_stop(self) -> None:
        """Wait a bounded time until every claim is settled."""
        ...
