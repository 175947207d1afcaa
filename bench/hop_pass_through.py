"""A bare aiohttp pass-through, the baseline of the hop benchmark.

Usage: ``python -m bench.hop_pass_through TARGET_PORT``; prints its port, then runs
until ``SIGTERM``. It decides nothing: every request goes to the one target.
"""

import asyncio
import sys
from collections.abc import Mapping

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

HOP_BY_HOP = ("Connection", "Keep-Alive", "Transfer-Encoding", "Upgrade", "TE")


class PassThrough:
    """Pass every request on to one target.

    :param session: Connections to the target.
    :param port: TCP port of the target.
    """

    def __init__(self, session: aiohttp.ClientSession, port: int) -> None:
        self._session = session
        self._base = f"http://127.0.0.1:{port}"

    async def async_handle(self, request: web.Request) -> web.StreamResponse:
        """Pass one request on and its answer back.

        :param request: The request.
        """
        body = await request.read() if request.body_exists else None
        async with self._session.request(
            request.method,
            self._base + request.raw_path,
            headers=_forwarded(request.headers),
            data=body,
            allow_redirects=False,
        ) as answer:
            return web.Response(
                status=answer.status,
                headers=_forwarded(answer.headers),
                body=await answer.read(),
            )


def _forwarded(headers: Mapping[str, str]) -> CIMultiDict[str]:
    kept: CIMultiDict[str] = CIMultiDict(headers)
    for name in HOP_BY_HOP:
        kept.popall(name, None)
    return kept


async def async_main(target_port: int) -> None:
    """Serve until the process is stopped."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, auto_decompress=False
    ) as session:
        app = web.Application()
        handler = PassThrough(session, target_port).async_handle
        app.router.add_route("*", "/{tail:.*}", handler)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0, backlog=1024).start()
        print(runner.addresses[0][1], flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(async_main(int(sys.argv[1])))
