"""Parsing of the head of a caller's request."""

import hashlib
import itertools
import re
import secrets
from collections.abc import Mapping
from dataclasses import dataclass

from aiohttp import web
from multidict import CIMultiDict

from mothshunt.configuration.model import Configuration
from mothshunt.contract.model import ALWAYS_IDEMPOTENT, Contract, ServiceContract
from mothshunt.core.codes import Failure, ResultCode
from mothshunt.core.const import (
    HEADER_DEADLINE_MS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_REQUEST_ID,
    ID_PATTERN,
    PATH_SERVICES,
)
from mothshunt.core.types import (
    CustomerId,
    IdempotencyKey,
    RequestId,
    ServiceName,
)
from mothshunt.dispatch import codes
from mothshunt.dispatch.const import HOP_BY_HOP_HEADERS

MILLISECONDS_PER_SECOND = 1000
MAX_DEADLINE_DIGITS = 9
FINGERPRINT_BYTES = 16

_PREFIX = PATH_SERVICES + "/"
_ID_REGEX = re.compile(ID_PATTERN)
_ID_PREFIX = secrets.token_hex(4)
_ID_NUMBERS = itertools.count(1)


@dataclass(slots=True)
class ParsedRequest:
    """Caller's request as its head describes it, before the body is read.

    :param contract: Contract in force of the customer.
    :param service: Contract of the service.
    :param method: HTTP method.
    :param path_and_query: Path below the service with a leading slash, and the query.
    :param idempotent: Whether the request may be repeated.
    :param key: Idempotency key, if the request may not be repeated and has one.
    :param deadline: Monotonic time at which the request ends, in seconds.
    :param request_id: Id of the request in the logs of the instance and the target.
    """

    contract: Contract
    service: ServiceContract
    method: str
    path_and_query: str
    idempotent: bool
    key: IdempotencyKey | None
    deadline: float
    request_id: RequestId

    @property
    def customer(self) -> CustomerId:
        """Customer whose service is requested."""
        return self.contract.customer


def parse_request(
    request: web.Request, configuration: Configuration, now: float
) -> ParsedRequest | Failure:
    """Parse the head of a caller's request.

    :param request: The request; its path begins with ``/v1/services/``.
    :param configuration: Configuration in force.
    :param now: Monotonic time, in seconds.
    :return: The parsed request, or why it is refused.
    """
    path, _, query = _raw_path_and_query(request)[len(_PREFIX) :].partition("?")
    parts = path.split("/", 2)
    if len(parts) < 2 or not parts[1]:
        return _failure(codes.UNKNOWN_PATH)
    contract = configuration.contract_by_customer.get(CustomerId(parts[0]))
    if contract is None:
        return _failure(codes.UNKNOWN_CUSTOMER, f"{parts[0]:.80}")
    service = contract.service(ServiceName(parts[1]))
    if service is None:
        return _failure(codes.UNKNOWN_SERVICE, f"{parts[1]:.80}")
    service_path = "/" + (parts[2] if len(parts) > 2 else "")
    idempotent = _is_idempotent(service, request.method, service_path)
    key = None if idempotent else request.headers.get(HEADER_IDEMPOTENCY_KEY)
    if key is not None and _ID_REGEX.match(key) is None:
        return _failure(codes.BAD_HEADER, HEADER_IDEMPOTENCY_KEY)
    timeout_ms = _timeout_ms(request.headers.get(HEADER_DEADLINE_MS), service)
    if timeout_ms is None:
        return _failure(codes.BAD_HEADER, HEADER_DEADLINE_MS)
    return ParsedRequest(
        contract,
        service,
        request.method,
        f"{service_path}?{query}" if query else service_path,
        idempotent,
        None if key is None else IdempotencyKey(key),
        now + timeout_ms / MILLISECONDS_PER_SECOND,
        _request_id(request.headers.get(HEADER_REQUEST_ID)),
    )


def end_to_end_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the header fields that are forwarded, without the hop-by-hop ones.

    :param headers: Header fields as received.
    """
    kept: CIMultiDict[str] = CIMultiDict(headers)
    for name in HOP_BY_HOP_HEADERS:
        kept.popall(name, None)
    for value in _connection_tokens(headers):
        kept.popall(value, None)
    return kept


def fingerprint(parsed: ParsedRequest, body: bytes) -> bytes:
    """Return a hash of the method, path, query and body of a request.

    It differs if an idempotency key is used again with a different request.

    :param parsed: The parsed request.
    :param body: Complete request body.
    """
    digest = hashlib.sha256(f"{parsed.method} {parsed.path_and_query}\n".encode())
    digest.update(body)
    return digest.digest()[:FINGERPRINT_BYTES]


def _request_id(given: str | None) -> RequestId:
    if given is not None and _ID_REGEX.match(given) is not None:
        return RequestId(given)
    return RequestId(f"{_ID_PREFIX}-{next(_ID_NUMBERS):x}")


def _raw_path_and_query(request: web.Request) -> str:
    raw = request.raw_path
    return raw if raw.startswith("/") else request.rel_url.raw_path_qs


def _is_idempotent(service: ServiceContract, method: str, path: str) -> bool:
    if method in ALWAYS_IDEMPOTENT:
        return True
    # A target may normalise such a path to one that the rule does not mean.
    if "%" in path or "//" in path or "/." in path or "\\" in path:
        return False
    return service.is_idempotent(method, path)


def _timeout_ms(value: str | None, service: ServiceContract) -> int | None:
    if value is None:
        return service.request_timeout_ms
    if not value.isascii() or not value.isdigit() or len(value) > MAX_DEADLINE_DIGITS:
        return None
    return min(int(value), service.request_timeout_ms)


def _connection_tokens(headers: Mapping[str, str]) -> list[str]:
    value = headers.get("Connection")
    if value is None:
        return []
    return [name.strip() for name in value.split(",") if name.strip()]


def _failure(code: ResultCode, detail: str = "") -> Failure:
    return Failure(code=code, detail=detail)
