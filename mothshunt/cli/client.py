"""Requests to the administration API, repeated at other instances where needed."""

import asyncio
import json
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Self
from urllib.parse import quote

import aiohttp
from expression import Error, Ok, Result

from mothshunt.admin import codes
from mothshunt.cli.const import (
    ATTEMPT_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    MAX_UNREACHABLE_ROUNDS,
    ROUND_PAUSE_S,
)
from mothshunt.cli.model import CommandFailure, ExitCode
from mothshunt.helpers.bounded_answers import BoundedConnector
from mothshunt.routing import codes as routing_codes

#: Refusals that the replicated state gave; no earlier copy can be accepted after. Had a
#: copy of a call on routing items been accepted, another one would change nothing.
_FINAL_CODES = frozenset(
    code.number
    for code in (
        codes.CHANGE_CONFLICT,
        codes.CHANGE_REFUSED,
        routing_codes.INVALID_ITEM,
        routing_codes.UNKNOWN_SERVICE,
        routing_codes.PLACE_TAKEN,
    )
)


class AttemptEnd(Enum):
    """How one request to one instance ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    #: The instance certainly did not carry it out.
    NOT_RUN = "not_run"
    #: No connection was made.
    UNREACHABLE = "unreachable"
    #: The instance may have carried it out.
    LOST = "lost"


@dataclass(frozen=True, kw_only=True, slots=True)
class ApiRequest:
    """Describe a request.

    :param method: HTTP method.
    :param path: Path.
    :param query: Parameters.
    :param body: Body.
    :param is_read: Whether it changes nothing.
    :param timeout_s: Seconds to wait for one answer.
    :param give_up_s: Seconds after which no further attempt is begun; ``None`` leaves
        it to the client.
    """

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    body: bytes | None = None
    is_read: bool = False
    timeout_s: float = ATTEMPT_TIMEOUT_S
    give_up_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """Tell how one request to one instance ended.

    :param end: How it ended.
    :param document: JSON document of the answer.
    :param text: What went wrong.
    """

    end: AttemptEnd
    document: Any = None
    text: str = ""


class SendOnce:
    """Keep aiohttp from sending a request again by itself.

    It does so for GET, PUT and DELETE when the connection breaks, also a new one; a
    refusal of the second copy would then hide that the first one may have been run.
    """

    def __init__(self) -> None:
        self._is_sent = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Send the request, the first time only.

        :param request: The request.
        :param handler: Sends it.
        """
        if self._is_sent:
            raise aiohttp.ServerDisconnectedError
        self._is_sent = True
        return await handler(request)


class ApiClient:
    """Ask the instances in turn until one answers.

    :param urls: Base URLs of administration APIs.
    :param token: Token of the operator.
    :param timeout_s: Seconds after which no further attempt is begun.
    """

    def __init__(self, urls: list[str], token: str | None, timeout_s: float) -> None:
        self._urls = [_base_url(url) for url in urls]
        self._token = token
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Open the session."""
        # A kept-alive connection may have gone silent.
        connector = BoundedConnector(force_close=True)
        self._session = aiohttp.ClientSession(connector=connector)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def async_read(
        self, path: str, query: Mapping[str, str] | None = None
    ) -> Result[Any, CommandFailure]:
        """Read a document.

        :param path: Path.
        :param query: Parameters.
        """
        return await self.async_send(
            ApiRequest(method="GET", path=path, query=query or {}, is_read=True)
        )

    async def async_send(self, request: ApiRequest) -> Result[Any, CommandFailure]:
        """Send a request, and send it again unchanged while its outcome is not known.

        :param request: A read, or a change that carries its change id.
        :return: The answer, or why there is none.
        """
        give_up_s = self._timeout_s if request.give_up_s is None else request.give_up_s
        deadline = time.monotonic() + give_up_s
        last = Attempt(end=AttemptEnd.UNREACHABLE, text="no address was tried")
        lost: Attempt | None = None
        unreachable_rounds = 0
        while unreachable_rounds < MAX_UNREACHABLE_ROUNDS:
            unreachable_rounds += 1
            # A copy: an answer may name further control instances.
            for url in list(self._urls):
                last = await self._async_attempt(url, request)
                if last.end is AttemptEnd.ANSWERED:
                    return Ok(last.document)
                if last.end is AttemptEnd.REFUSED:
                    return Error(_refused(last, lost))
                if last.end is AttemptEnd.LOST and not request.is_read:
                    lost = last
                if last.end is not AttemptEnd.UNREACHABLE:
                    unreachable_rounds = 0
                if time.monotonic() > deadline:
                    return Error(_given_up(last, lost))
            await asyncio.sleep(ROUND_PAUSE_S)
        return Error(_given_up(last, lost))

    async def async_read_from_each(
        self, path: str
    ) -> dict[str, Result[Any, CommandFailure]]:
        """Read a document from each address, once, at the same time.

        :param path: Path.
        :return: Answer of each address, or why there is none.
        """
        request = ApiRequest(method="GET", path=path, is_read=True)
        urls = list(self._urls)
        attempts = await asyncio.gather(
            *(self._async_attempt(url, request) for url in urls)
        )
        return dict(zip(urls, map(_result_of_read, attempts), strict=True))

    async def async_get_from(
        self, url: str, query: Mapping[str, str]
    ) -> Result[Any, CommandFailure]:
        """Read a document from one address outside the administration API.

        :param url: Whole URL.
        :param query: Parameters.
        """
        request = ApiRequest(method="GET", path="", query=query, is_read=True)
        return _result_of_read(await self._async_exchange(url, request, {}))

    async def _async_attempt(self, url: str, request: ApiRequest) -> Attempt:
        headers = {"Authorization": f"Bearer {self._token}"} if self._token else {}
        attempt = await self._async_exchange(url + request.path, request, headers)
        if attempt.end is AttemptEnd.NOT_RUN:
            self._learn(attempt.document)
        return attempt

    async def _async_exchange(
        self, url: str, request: ApiRequest, headers: Mapping[str, str]
    ) -> Attempt:
        assert self._session is not None
        try:
            async with self._session.request(
                request.method,
                url,
                params=request.query,
                data=request.body,
                headers=headers,
                allow_redirects=False,
                middlewares=(SendOnce(),),
                timeout=aiohttp.ClientTimeout(
                    total=request.timeout_s, sock_connect=CONNECT_TIMEOUT_S
                ),
            ) as response:
                document = json.loads(await response.read())
                return _attempt_of(response.status, document)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Attempt(end=AttemptEnd.UNREACHABLE, text=f"{url}: {error}")
        except aiohttp.InvalidURL:
            return Attempt(end=AttemptEnd.UNREACHABLE, text=f"{url}: no valid URL")
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            text = f"{url}: no answer ({type(error).__name__})"
            return Attempt(end=AttemptEnd.LOST, text=text)

    def _learn(self, document: Any) -> None:
        for address in document.get("control", ()):
            if address["url"] not in self._urls:
                self._urls.append(address["url"])


def path_of(*parts: str) -> str:
    """Return a path of the API.

    :param parts: Parts of the path below the version, as text of the user.
    """
    return "/v1/" + "/".join(quote(part, safe="") for part in parts)


def _base_url(url: str) -> str:
    with_scheme = url if "://" in url else f"http://{url}"
    return with_scheme.rstrip("/")


def _attempt_of(status: int, document: Any) -> Attempt:
    if status < 300:
        return Attempt(end=AttemptEnd.ANSWERED, document=document)
    if not isinstance(document, dict) or "code" not in document:
        return Attempt(end=AttemptEnd.LOST, text=f"status {status} without a code")
    text = f"{document['code']} {document.get('name')}: {document.get('detail')}"
    if document.get("ran") == "unknown":
        return Attempt(end=AttemptEnd.LOST, document=document, text=text)
    if status >= 500 or document["code"] == codes.NOT_CONTROL.number:
        return Attempt(end=AttemptEnd.NOT_RUN, document=document, text=text)
    return Attempt(end=AttemptEnd.REFUSED, document=document, text=text)


def _result_of_read(attempt: Attempt) -> Result[Any, CommandFailure]:
    if attempt.end is AttemptEnd.ANSWERED:
        return Ok(attempt.document)
    if attempt.end is AttemptEnd.REFUSED:
        return Error(_refused(attempt, None))
    return Error(_given_up(attempt, None))


def _refused(attempt: Attempt, lost: Attempt | None) -> CommandFailure:
    number = attempt.document["code"]
    exit_code = ExitCode.REFUSED
    if number == codes.CHANGE_CONFLICT.number:
        exit_code = ExitCode.CONFLICT
    elif lost is not None and number not in _FINAL_CODES:
        exit_code = ExitCode.UNKNOWN_OUTCOME
    return CommandFailure(
        exit_code=exit_code, text=attempt.text, document=attempt.document
    )


def _given_up(last: Attempt, lost: Attempt | None) -> CommandFailure:
    if lost is not None:
        return CommandFailure(
            exit_code=ExitCode.UNKNOWN_OUTCOME,
            text=f"the outcome is unknown: {lost.text}",
            document=lost.document or {},
        )
    return CommandFailure(
        exit_code=ExitCode.UNREACHABLE,
        text=f"no instance answered: {last.text}",
        document=last.document or {},
    )
