"""Interface of the ledger to the dispatch slice."""

from dataclasses import dataclass
from typing import Protocol

from expression import Result

from mothshunt.core.codes import Failure
from mothshunt.core.types import CustomerId, IdempotencyKey, ServiceName


@dataclass(frozen=True, kw_only=True, slots=True)
class LedgerKey:
    """Idempotency key of one service of a customer.

    :param customer: Customer to which the service belongs.
    :param service: Service that the request is for.
    :param key: Key that the caller chose.
    """

    customer: CustomerId
    service: ServiceName
    key: IdempotencyKey


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyedRequest:
    """Request that may run at most once, identified by its idempotency key.

    :param key: Its idempotency key.
    :param fingerprint: Hash of method, path and body.
    """

    key: LedgerKey
    fingerprint: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredResponse:
    """First response to a request, as far as it is stored.

    :param status: HTTP status.
    :param headers: Header fields to be sent with a replayed response.
    :param body: Body; ``None`` if the response was too large to be stored.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class KeyClaim(Protocol):
    """Claim of a key that gives the sole right to run its request.

    It is recorded or released once at most.
    """

    def record(self, response: StoredResponse) -> None:
        """Store the response of the request, in the background.

        :param response: Response of the target.
        """
        ...

    def release(self) -> None:
        """Release the key of a request that was not run, in the background."""
        ...


class KeyLedger(Protocol):
    """Store of idempotency keys, through which each request runs at most once."""

    async def async_claim(
        self, request: KeyedRequest, deadline: float
    ) -> Result[KeyClaim | StoredResponse, Failure]:
        """Claim an idempotency key through the replicated log.

        Once the deadline has passed, the outcome of a request whose claim was neither
        recorded nor released counts as unknown.

        :param request: The request.
        :param deadline: Monotonic time at which the request ends, in seconds.
        :return: The claim, if it is committed and owned by this call alone; or the
            stored response to an earlier request with the key; or a failure, after
            which the request must not be dispatched.
        """
        ...

    async def async_stop(self) -> None:
        """Wait for a limited time until every claim is recorded or released."""
        ...
