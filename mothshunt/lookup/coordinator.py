"""HTTP handler of look-ups under the contracts of customers."""

import math
from collections.abc import Callable, Sequence
from urllib.parse import parse_qsl

from aiohttp import web

from mothshunt.configuration.model import Configuration, ConfigurationSource
from mothshunt.contract.model import Contract
from mothshunt.core.codes import Failure
from mothshunt.core.const import HEADER_CODE, HEADER_RAN, HEADER_RETRY_AFTER
from mothshunt.core.types import AvailabilityZoneId, RegionId
from mothshunt.lookup import codes
from mothshunt.lookup.answers import AnswerCache
from mothshunt.lookup.const import (
    MAX_CACHED_ANSWERS,
    PARAM_CLIENT,
    PARAM_CUSTOMER,
    PARAM_SERVICE,
    RETRY_AFTER_S,
)
from mothshunt.lookup.state import EntryTable, client_group
from mothshunt.membership.model import EntryDirectory, EntryPresence
from mothshunt.metrics.registry import Metrics, Series

_HEADERS = {"Content-Type": "application/json"}


class LookupHandler:
    """HTTP handler that answers which entry instances a caller should use.

    :param region: Region of this instance.
    :param availability_zone: Availability zone of this instance.
    :param entries: Reachable entry instances.
    :param configuration: Configuration in force.
    :param is_ready: Returns whether this instance has the current configuration.
    :param metrics: Metrics of this process.
    """

    def __init__(
        self,
        *,
        region: RegionId,
        availability_zone: AvailabilityZoneId,
        entries: EntryDirectory,
        configuration: ConfigurationSource,
        is_ready: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        self._table = EntryTable(region, availability_zone)
        self._answer_cache = AnswerCache(self._table)
        self._entries = entries
        self._configuration = configuration
        self._is_ready = is_ready
        self._metrics = metrics
        self._body_by_path: dict[str, bytes] = {}
        self._contract_by_service: dict[tuple[str, str], Contract] = {}
        self._applied_entries: Sequence[EntryPresence] | None = None
        self._applied_configuration: Configuration | None = None
        self._series = Series("mothshunt_lookups_total")

    async def async_handle(self, request: web.Request) -> web.Response:
        """Answer ``GET /v1/lookup``.

        :param request: Has the query parameters customer, service and, optionally,
            client; the default client is the sender.
        """
        if not self._is_ready():
            return self._build_refusal(
                Failure(code=codes.NOT_READY, retry_after_s=RETRY_AFTER_S)
            )
        self._refresh()
        path = request.raw_path
        body = self._body_by_path.get(path)
        if body is None:
            parameters = _parse(path)
            client = parameters.get(PARAM_CLIENT)
            answer = self.answer(
                parameters.get(PARAM_CUSTOMER, ""),
                parameters.get(PARAM_SERVICE, ""),
                client or request.remote or "",
            )
            if isinstance(answer, Failure):
                return self._build_refusal(answer)
            body = answer
            if client:
                self._cache_body(path, body)
        counters = self._metrics.counter_by_series
        counters[self._series] = counters.get(self._series, 0) + 1
        return web.Response(body=body, headers=_HEADERS)

    def answer(self, customer: str, service: str, client: str) -> bytes | Failure:
        """Return the body of an answer, or the reason for a refusal.

        :param customer: Customer of the service.
        :param service: Service that the caller wants to use.
        :param client: IP number of the client.
        """
        group = client_group(client)
        if group is None or not customer or not service:
            return Failure(code=codes.BAD_QUERY, detail="customer, service, client")
        contract = self._contract_by_service.get((customer, service))
        if contract is None:
            detail = f"{customer}/{service}"
            return Failure(code=codes.UNKNOWN_SERVICE, detail=detail)
        body = self._answer_cache.body(contract, group)
        if body is None:
            return Failure(code=codes.NO_ENTRY, retry_after_s=RETRY_AFTER_S)
        return body

    def _refresh(self) -> None:
        """Apply the current entries and configuration; drop outdated answers."""
        entries = self._entries.entries()
        configuration = self._configuration.current()
        if configuration is not self._applied_configuration:
            self._applied_configuration = configuration
            self._contract_by_service = _by_service(configuration)
            self._body_by_path.clear()
            self._applied_entries = None
        if entries is not self._applied_entries:
            self._applied_entries = entries
            if self._table.update(entries, configuration.drains):
                self._answer_cache.clear()
                self._body_by_path.clear()

    def _cache_body(self, path: str, body: bytes) -> None:
        if len(self._body_by_path) >= MAX_CACHED_ANSWERS:
            self._body_by_path.clear()
        self._body_by_path[path] = body

    def _build_refusal(self, failure: Failure) -> web.Response:
        code = failure.code
        self._metrics.count("mothshunt_refusals_total", reason=code.name)
        headers = {HEADER_CODE: str(code.number), HEADER_RAN: failure.ran.value}
        if failure.retry_after_s is not None:
            headers[HEADER_RETRY_AFTER] = str(math.ceil(failure.retry_after_s))
        document = {
            "code": code.number,
            "name": code.name,
            "detail": failure.detail,
            "ran": failure.ran.value,
            "retry_after_s": failure.retry_after_s,
        }
        return web.json_response(document, status=code.http_status, headers=headers)


def _parse(path: str) -> dict[str, str]:
    """Parse the query of a path.

    Simple queries are split here, as parsing by the URL library would take as long as
    half a look-up.
    """
    text = path.partition("?")[2]
    try:
        parameters = dict([part.split("=", 1) for part in text.split("&")])
    except ValueError:
        parameters = {}
    if not parameters or "%" in text or "+" in text:
        parameters = dict(parse_qsl(text))
    return parameters


def _by_service(configuration: Configuration) -> dict[tuple[str, str], Contract]:
    return {
        (customer, item.service): contract
        for customer, contract in configuration.contract_by_customer.items()
        for item in contract.services
    }
