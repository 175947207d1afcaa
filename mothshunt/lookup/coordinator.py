"""Look-ups over HTTP."""

import json
from collections.abc import Callable

from aiohttp import web

from mothshunt.configuration.model import ConfigurationSource
from mothshunt.core.codes import Failure
from mothshunt.core.const import HEADER_CODE, HEADER_RAN, HEADER_RETRY_AFTER
from mothshunt.core.types import AvailabilityZoneId, CustomerId, RegionId, ServiceName
from mothshunt.lookup import codes
from mothshunt.lookup.const import (
    ATTR_AVAILABILITY_ZONE,
    ATTR_ENTRIES,
    ATTR_HOST,
    ATTR_INSTANCE,
    ATTR_LIFETIME_MS,
    ATTR_PORT,
    ATTR_REGION,
    PARAM_CLIENT,
    PARAM_CUSTOMER,
    PARAM_SERVICE,
    RETRY_AFTER_S,
)
from mothshunt.lookup.state import EntryTable, client_block, group_of
from mothshunt.membership.model import EntryDirectory, InstanceRecord
from mothshunt.metrics.registry import Metrics


class LookupHandler:
    """Answer which entry instances a caller should use.

    :param region: Region of this instance.
    :param availability_zone: Availability zone of this instance.
    :param entries: Entry instances that are reachable.
    :param configuration: Configuration in force.
    :param is_ready: Tells whether this instance holds the current configuration.
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
        self._entries = entries
        self._configuration = configuration
        self._is_ready = is_ready
        self._metrics = metrics

    async def async_handle(self, request: web.Request) -> web.Response:
        """Answer ``GET /v1/lookup``.

        :param request: Has the parameters customer, service and client.
        """
        query = request.query
        client = query.get(PARAM_CLIENT) or request.remote or ""
        customer = CustomerId(query.get(PARAM_CUSTOMER, ""))
        service = ServiceName(query.get(PARAM_SERVICE, ""))
        answer = self.answer(customer, service, client)
        if isinstance(answer, Failure):
            return self._refuse(answer)
        self._metrics.count("mothshunt_lookups_total")
        return web.Response(body=answer, content_type="application/json")

    def answer(
        self, customer: CustomerId, service: ServiceName, client: str
    ) -> bytes | Failure:
        """Return the body of an answer, or why there is none.

        :param customer: Customer of the service.
        :param service: Service that the caller wants.
        :param client: IP number of the client.
        """
        if not self._is_ready():
            return Failure(code=codes.NOT_READY, retry_after_s=RETRY_AFTER_S)
        block = client_block(client)
        if block is None or not customer or not service:
            return Failure(code=codes.BAD_QUERY, detail="customer, service, client")
        configuration = self._configuration.current()
        contract = configuration.contract_by_customer.get(customer)
        if contract is None or contract.service(service) is None:
            return Failure(code=codes.UNKNOWN_SERVICE, detail=f"{customer}/{service}")
        self._table.update(self._entries.entries(), configuration.drains)
        order = self._table.order(group_of(block))
        if not order:
            return Failure(code=codes.NO_ENTRY, retry_after_s=RETRY_AFTER_S)
        return _body(order, contract.lookup_lifetime_s)

    def _refuse(self, failure: Failure) -> web.Response:
        code = failure.code
        self._metrics.count("mothshunt_refusals_total", reason=code.name)
        headers = {HEADER_CODE: str(code.number), HEADER_RAN: failure.ran.value}
        if failure.retry_after_s is not None:
            headers[HEADER_RETRY_AFTER] = str(int(-(-failure.retry_after_s // 1)))
        document = {
            "code": code.number,
            "name": code.name,
            "detail": failure.detail,
            "ran": failure.ran.value,
            "retry_after_s": failure.retry_after_s,
        }
        return web.json_response(document, status=code.http_status, headers=headers)


def _body(order: tuple[InstanceRecord, ...], lifetime_s: float) -> bytes:
    document = {
        ATTR_ENTRIES: [_entry(record) for record in order],
        ATTR_LIFETIME_MS: int(lifetime_s * 1000),
    }
    return json.dumps(document).encode()


def _entry(record: InstanceRecord) -> dict[str, str | int]:
    return {
        ATTR_INSTANCE: record.id,
        ATTR_HOST: record.traffic_host,
        ATTR_PORT: record.traffic_port,
        ATTR_REGION: record.region,
        ATTR_AVAILABILITY_ZONE: record.availability_zone,
    }
