"""A caller of mothshunt: looks up entries, sends requests, checks answers."""

import json
import math
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace

import aiohttp
from aiohttp.client_middlewares import ClientHandlerType

from mothshunt.core.const import (
    HEADER_DEADLINE_MS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_RAN,
    HEADER_RETRY_AFTER,
    PATH_LOOKUP,
    PATH_SERVICES,
)
from testkit import answers
from testkit.request import Outcome, Request, Result
from testkit.target.config import Endpoint
from testkit.target.server import HEADER_TEST_ID

#: How much longer than the deadline the caller itself waits.
CLIENT_GRACE_S = 5.0
LOOKUP_TIMEOUT_S = 1.0


_ENTRY_FAILURES = frozenset({Outcome.NOT_SENT, Outcome.BROKEN, Outcome.TIMED_OUT})


@dataclass(frozen=True, slots=True)
class _CachedLookup:
    entries: tuple[Endpoint, ...]
    valid_until: float


class Caller:
    """Send requests of one client of one customer.

    :param customer: Customer.
    :param client: Address of the client, as it is given in look-ups.
    :param ask: Instances to ask for look-ups; the next is asked when one fails.
    :param session: HTTP client; see ``make_session``.
    :param grace_s: How much longer than the deadline it waits for an answer.
    """

    def __init__(
        self,
        *,
        customer: str,
        client: str,
        ask: Sequence[Endpoint],
        session: aiohttp.ClientSession,
        grace_s: float = CLIENT_GRACE_S,
    ) -> None:
        self._grace_s = grace_s
        self._customer = customer
        self._client = client
        self._ask = tuple(ask)
        self._session = session
        self._cached_by_service: dict[str, _CachedLookup] = {}
        self._asked = 0

    async def async_lookup(self, service: str) -> tuple[Endpoint, ...]:
        """Return the entries to use, in order; asks only after the lifetime.

        :param service: Service.
        """
        cached = self._cached_by_service.get(service)
        if cached is not None and time.monotonic() < cached.valid_until:
            return cached.entries
        for _ in self._ask:
            found = await self._async_ask(
                self._ask[self._asked % len(self._ask)], service
            )
            if found is not None:
                self._cached_by_service[service] = found
                return found.entries
            self._asked += 1
        # An entry serves on for the lifetimes that it was named for, and no longer.
        return ()

    async def async_send(self, request: Request, due_at: float | None = None) -> Result:
        """Send a request to the first entry that takes the connection.

        :param request: The request.
        :param due_at: Monotonic time at which it was due; now by default.
        """
        started_at = time.monotonic() if due_at is None else due_at
        last = Result(request=request, outcome=Outcome.NOT_SENT, detail="no entries")
        for entry in await self.async_lookup(request.service):
            last = await self.async_send_to(entry, request)
            if last.outcome in _ENTRY_FAILURES:
                self._put_last(entry)
            if last.outcome is not Outcome.NOT_SENT:
                break
        latency_s = time.monotonic() - started_at
        return replace(last, started_at=started_at, latency_s=latency_s)

    def forget_lookups(self) -> None:
        """Have the next request ask again which entries to use."""
        self._cached_by_service.clear()

    def fix_entries(self, service: str, entries: Sequence[Endpoint]) -> None:
        """Use some entries for good, without look-ups.

        :param service: Service.
        :param entries: The entries, in order.
        """
        self._cached_by_service[service] = _CachedLookup(tuple(entries), math.inf)

    def _put_last(self, entry: Endpoint) -> None:
        """Use an entry that failed only after the others, until the next look-up."""
        for service, cached in self._cached_by_service.items():
            if entry in cached.entries:
                others = tuple(item for item in cached.entries if item != entry)
                self._cached_by_service[service] = _CachedLookup(
                    (*others, entry), cached.valid_until
                )

    async def _async_ask(self, entry: Endpoint, service: str) -> _CachedLookup | None:
        query = {
            "customer": self._customer,
            "service": service,
            "client": self._client,
        }
        asked_at = time.monotonic()
        timeout = aiohttp.ClientTimeout(total=LOOKUP_TIMEOUT_S)
        try:
            async with self._session.get(
                entry.url + PATH_LOOKUP, params=query, timeout=timeout
            ) as response:
                if response.status != 200:
                    return None
                document = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None
        entries = tuple(
            Endpoint(host=item["host"], port=item["port"])
            for item in document["entries"]
        )
        lifetime_s = document["lifetime_ms"] / 1000
        return _CachedLookup(entries, asked_at + lifetime_s)

    async def async_send_to(self, entry: Endpoint, request: Request) -> Result:
        """Send a request to one entry, whatever look-ups say.

        :param entry: The entry.
        :param request: The request.
        """
        headers = {
            HEADER_TEST_ID: request.request_id,
            HEADER_DEADLINE_MS: str(request.deadline_ms),
            **request.headers,
        }
        if request.key is not None:
            headers[HEADER_IDEMPOTENCY_KEY] = request.key
        url = f"{entry.url}{PATH_SERVICES}/{self._customer}/{request.service}"
        timeout = aiohttp.ClientTimeout(
            total=request.deadline_ms / 1000 + self._grace_s
        )

        def ended(outcome: Outcome, detail: str = "") -> Result:
            return Result(
                request=request, outcome=outcome, entry=entry.url, detail=detail
            )

        try:
            async with self._session.request(
                request.method,
                url + request.path,
                data=request.body or None,
                headers=headers,
                timeout=timeout,
            ) as response:
                body = await response.read()
                return _judge(request, entry, response, body)
        except aiohttp.ClientConnectorError as error:
            return ended(Outcome.NOT_SENT, str(error))
        except TimeoutError:
            return ended(Outcome.TIMED_OUT)
        except (aiohttp.ClientError, OSError) as error:
            return ended(Outcome.BROKEN, repr(error))


class ConnectionBrokenError(aiohttp.ClientError):
    """Tell that a connection broke after the request was handed to it."""


async def _async_send_once(
    request: aiohttp.ClientRequest, handler: ClientHandlerType
) -> aiohttp.ClientResponse:
    """Hide a broken connection from aiohttp, which would send the request again."""
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBrokenError(repr(error)) from error


def make_session(*, kept_connections: bool = True) -> aiohttp.ClientSession:
    """Return an HTTP client for callers, which sends each request once.

    By itself aiohttp repeats GET, PUT, DELETE and others when a connection breaks,
    a new one too; a caller that counts runs can't use that.

    :param kept_connections: Whether connections are used again.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=not kept_connections),
        auto_decompress=False,
        middlewares=(_async_send_once,),
    )


def _judge(
    request: Request, entry: Endpoint, response: aiohttp.ClientResponse, body: bytes
) -> Result:
    headers = response.headers
    ran = headers.get(HEADER_RAN, "")
    retry_after = headers.get(HEADER_RETRY_AFTER)
    code_name = ""
    answer = None
    if response.status == 200:
        answer = answers.verify(body, request.request_id)
        outcome = Outcome.WRONG if answer is None else Outcome.WHOLE
    elif ran:
        outcome = Outcome.REFUSED
        code_name = _code_name(body)
    else:
        outcome = Outcome.TARGET_ERROR
    return Result(
        request=request,
        outcome=outcome,
        entry=entry.url,
        status=response.status,
        code_name=code_name,
        ran=ran,
        retry_after_s=None if retry_after is None else float(retry_after),
        answer=answer,
        detail="" if outcome is Outcome.WHOLE else body[:300].decode(errors="replace"),
    )


def _code_name(body: bytes) -> str:
    try:
        return str(json.loads(body)["name"])
    except (ValueError, KeyError, TypeError):
        return "unreadable"
