"""HTTP connections on which what can't be read gets a numbered refusal."""

from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage

MAX_DETAIL_LENGTH = 200

#: Makes the answer to a request that is not valid HTTP, given what is wrong with it.
MalformedHandler = Callable[[str], web.Response]


class NumberedProtocol(web.RequestHandler):
    """Answer what can't be read as HTTP with a numbered refusal.

    :param manager: Server that the connection belongs to.
    :param on_malformed: Makes the answer to a request that is not valid HTTP.
    :param options: Options of the library's protocol.
    """

    __slots__ = ("_on_malformed",)

    def __init__(
        self, manager: web.Server, *, on_malformed: MalformedHandler, **options: Any
    ) -> None:
        super().__init__(manager, **options)
        self._on_malformed = on_malformed

    def data_received(self, data: bytes) -> None:
        """Parse what came in.

        The library leaves a request whose body turns out malformed waiting for more.

        :param data: Bytes of the caller.
        """
        super().data_received(data)
        if self._current_request is None or not self._messages:
            return
        body = self._current_request.content
        malformed = not isinstance(self._messages[-1][0], RawRequestMessage)
        if malformed and not body.is_eof():
            body.set_exception(web.RequestPayloadError("malformed body"))

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to a request that could not be read.

        :param request: Stands in for the request.
        :param status: Status that the library chose.
        :param exc: What was wrong.
        :param message: Text of the library.
        """
        if request.writer.output_size > 0:
            raise ConnectionResetError("the answer had begun")
        response = self._on_malformed((message or "")[:MAX_DETAIL_LENGTH])
        response.force_close()
        return response
