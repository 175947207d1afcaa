"""The platform's question whether an instance takes requests."""

from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

from mothshunt.core.codes import Failure
from mothshunt.helpers.http import failure_response
from mothshunt.platform import names
from mothshunt.routing import codes


def refuse_malformed(detail: str) -> web.Response:
    """Return the answer to what is not valid HTTP.

    :param detail: What is wrong with it.
    """
    return failure_response(Failure(code=codes.INVALID_ITEM, detail=detail))


@dataclass(slots=True, eq=False)
class ReadinessEndpoint:
    """Tell the platform whether an entry instance takes requests.

    :param is_ready: Tells it.
    """

    is_ready: Callable[[], bool]

    async def async_handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one call.

        :param request: The call.
        """
        is_known = request.method == "GET" and request.path == names.PATH_READY
        if not is_known:
            return web.Response(status=404)
        return web.Response(status=200 if self.is_ready() else 503)
