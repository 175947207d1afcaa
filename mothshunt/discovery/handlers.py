"""HTTP handlers for announcements of targets."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from aiohttp import web
from expression import Error, Ok, Result

from mothshunt.configuration.model import ConfigurationSource
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.discovery import codes, const
from mothshunt.discovery.announcements import Announcements
from mothshunt.discovery.messages import Announcement, LeaveNotice, TargetRow
from mothshunt.helpers.http import failure_response
from mothshunt.metrics.registry import Metrics
from mothshunt.util import schema

T = TypeVar("T")


@dataclass(slots=True, eq=False)
class AnnouncementHandlers:
    """HTTP handlers for targets that announce themselves, renew and leave.

    :param announcements: Targets that announced themselves here.
    :param source: The configuration in force.
    :param send_soon: Sends a changed row to the other instances with the next batch.
    :param clock: Source of the present time.
    :param metrics: Counters of the process.
    """

    announcements: Announcements
    source: ConfigurationSource
    send_soon: Callable[[TargetRow], None]
    clock: Clock
    metrics: Metrics

    async def async_announce(self, request: web.Request) -> web.Response:
        """Handle ``POST /v1/targets/announce``.

        :param request: The request; its body is an ``Announcement`` in JSON.
        """
        match await _async_read(Announcement, request):
            case Result(tag="ok", ok=announcement):
                return self._announce(announcement)
            case Result(error=failure):
                return self._build_refusal(failure)

    async def async_leave(self, request: web.Request) -> web.Response:
        """Handle ``POST /v1/targets/leave``.

        :param request: The request; its body is a ``LeaveNotice`` in JSON.
        """
        match await _async_read(LeaveNotice, request):
            case Result(tag="ok", ok=notice):
                row = self.announcements.leave(notice, self.clock.monotonic())
                if row is not None:
                    self.send_soon(row)
                return web.json_response({"left": row is not None})
            case Result(error=failure):
                return self._build_refusal(failure)

    def _announce(self, announcement: Announcement) -> web.Response:
        contracts = self.source.current().contract_by_customer
        contract = contracts.get(announcement.customer)
        if contract is None or contract.service(announcement.service) is None:
            detail = f"{announcement.customer}/{announcement.service}"
            failure = Failure(code=codes.UNKNOWN_CUSTOMER, detail=detail)
            return self._build_refusal(failure)
        table = self.announcements.table
        known = table.known_by_target.get(announcement.target)
        match self.announcements.announce(announcement, self.clock.monotonic()):
            case Result(tag="ok", ok=row):
                if known is None or known.row != row:
                    self.send_soon(row)
                return web.json_response(
                    {
                        "renew_after_ms": const.RENEW_INTERVAL_MS,
                        "lease_ms": int(const.LEASE_S * 1000),
                    }
                )
            case Result(error=failure):
                return self._build_refusal(failure)

    def _build_refusal(self, failure: Failure) -> web.Response:
        self.metrics.count(
            "mothshunt_announcements_refused_total", reason=failure.code.name
        )
        return failure_response(failure)


async def _async_read(cls: type[T], request: web.Request) -> Result[T, Failure]:
    body = b""
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > const.MAX_ANNOUNCEMENT_BYTES:
            return Error(Failure(code=codes.BAD_ANNOUNCEMENT, detail="body too large"))
    match schema.from_json(cls, body):
        case Result(tag="ok", ok=value):
            return Ok(value)
        case Result(error=faults):
            detail = "; ".join(f"{fault.path}: {fault.problem}" for fault in faults)
            return Error(Failure(code=codes.BAD_ANNOUNCEMENT, detail=detail))
