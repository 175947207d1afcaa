"""The platform's calls to an instance, handed to the product."""

from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import unquote

from aiohttp import web
from expression import Result

from mothshunt.core.codes import Failure
from mothshunt.core.types import AvailabilityZoneId, RegionId, TargetId
from mothshunt.daemon.routed_control import RoutedControl
from mothshunt.helpers.http import failure_response
from mothshunt.helpers.log import get_logger
from mothshunt.platform import documents, names
from mothshunt.platform.values import BadValueError
from mothshunt.receipt.model import Receipt
from mothshunt.routing import codes

_LOGGER = get_logger("platform")


def _failed(failure: Failure) -> web.Response:
    return failure_response(failure)


def _bad_value(error: BadValueError, path: str) -> web.Response:
    failure = Failure(code=codes.INVALID_ITEM, detail=str(error))
    _LOGGER.failure(f"a call to {path[:80]} can't be read", failure)
    return _failed(failure)


def _done() -> web.Response:
    return web.json_response({})


@dataclass(slots=True, eq=False)
class ControlEndpoints:
    """Answer the calls of targets and operators.

    :param control: What the calls are handed to.
    :param region_by_zone: Regions of the availability zones.
    """

    control: RoutedControl
    region_by_zone: Mapping[AvailabilityZoneId, RegionId]

    async def async_handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one call.

        :param request: The call.
        """
        path = request.path
        receipt = self.control.receiver.receive(request)
        try:
            if request.method == "GET" and path == names.PATH_READ:
                return await self._async_read()
            if request.method != "POST":
                return _failed(Failure(code=codes.UNKNOWN_ZONE, detail=path[:80]))
            if path == names.PATH_PATCH:
                return await self._async_patch(await request.read())
            for prefix, handler in (
                (names.PATH_BEAT, self._async_beat),
                (names.PATH_LEAVE, self._async_leave),
                (names.PATH_EVACUATE, self._async_evacuate),
                (names.PATH_TAKE_BACK, self._async_end_evacuation),
            ):
                if path.startswith(prefix):
                    name = unquote(request.raw_path.partition("?")[0][len(prefix) :])
                    return await handler(name, await request.read(), receipt)
        except BadValueError as error:
            return _bad_value(error, path)
        return _failed(Failure(code=codes.UNKNOWN_ZONE, detail=path[:80]))

    async def _async_patch(self, body: bytes) -> web.Response:
        patch = documents.read_patch(documents.read_json(body))
        return _answer(await self.control.routing.async_patch(patch))

    async def _async_read(self) -> web.Response:
        match await self.control.routing.async_items():
            case Result(tag="ok", ok=items):
                return web.json_response(documents.items_document(items))
            case Result(error=failure):
                return _failed(failure)

    async def _async_beat(self, target: str, body: bytes, _: Receipt) -> web.Response:
        renewal = documents.read_renewal(
            target, documents.read_json(body), self.region_by_zone
        )
        return _answer(await self.control.intake.async_renew(renewal))

    async def _async_leave(
        self, target: str, body: bytes, receipt: Receipt
    ) -> web.Response:
        document = documents.read_json(body) if body.strip() else {}
        incarnation = documents.read_incarnation(document)
        return _answer(
            await self.control.intake.async_leave(
                TargetId(target), incarnation, receipt
            )
        )

    async def _async_evacuate(
        self, zone: str, _: bytes, receipt: Receipt
    ) -> web.Response:
        return await self._async_set_evacuation(zone, receipt, is_evacuated=True)

    async def _async_end_evacuation(
        self, zone: str, _: bytes, receipt: Receipt
    ) -> web.Response:
        return await self._async_set_evacuation(zone, receipt, is_evacuated=False)

    async def _async_set_evacuation(
        self, name: str, receipt: Receipt, *, is_evacuated: bool
    ) -> web.Response:
        zone = AvailabilityZoneId(name)
        if zone not in self.region_by_zone:
            return _failed(Failure(code=codes.UNKNOWN_ZONE, detail=name[:80]))
        return _answer(
            await self.control.routing.async_set_evacuation(
                documents.OPERATOR, zone, is_evacuated=is_evacuated, receipt=receipt
            )
        )


def _answer(result: Result[object, Failure]) -> web.Response:
    return _failed(result.error) if result.is_error() else _done()
