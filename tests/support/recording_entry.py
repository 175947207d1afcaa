"""A stand-in entry that records the announcements of targets."""

from typing import Any

from aiohttp import web

from mothshunt.core.const import PATH_ANNOUNCE, PATH_LEAVE

RENEW_AFTER_MS = 100


class RecordingEntry:
    """Answer announcements and keep them.

    :param port: Port to listen on.
    """

    def __init__(self, port: int) -> None:
        self.port = port
        self.announcements: list[dict[str, Any]] = []
        self.leaves: list[dict[str, Any]] = []
        app = web.Application()
        app.router.add_post(PATH_ANNOUNCE, self._announce)
        app.router.add_post(PATH_LEAVE, self._leave)
        self._runner = web.AppRunner(app, access_log=None)

    async def async_start(self) -> None:
        """Listen."""
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", self.port).start()

    async def async_stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def _announce(self, request: web.Request) -> web.Response:
        self.announcements.append(await request.json())
        return web.json_response({"renew_after_ms": RENEW_AFTER_MS, "lease_ms": 3000})

    async def _leave(self, request: web.Request) -> web.Response:
        self.leaves.append(await request.json())
        return web.json_response({})
