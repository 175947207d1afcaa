"""A target behind a web server of the test."""

from aiohttp import web


class WebTarget:
    """Listen on an address; ``handle`` answers the requests."""

    runner: web.AppRunner | None = None

    async def listen(self, host: str, port: int) -> int:
        """Begin to listen; return the port, a free one for 0."""
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self.handle)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, port)
        await site.start()
        return site._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a request.

        :param request: The request.
        """
        raise NotImplementedError
