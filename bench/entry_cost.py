"""Processor time that an entry of a routed deployment spends on a request, by part.

The entry runs in a thread of its own; callers and targets are in another one.
"""

import asyncio
import cProfile
import time
from collections import defaultdict
from types import CodeType
from typing import Any

from mothshunt.core.const import HEADER_REQUEST_ID
from testkit.loop_thread import LoopThread
from testkit.routed_entry import HOST, RoutedWorld

CONNECTIONS = 8
TARGETS = 4
REQUESTS = 8_000
QUICK_REQUESTS = 2_000
#: Objects that the requests are about.
OBJECTS = 200
BODY = b"x" * 512
#: Longest head that is read, in bytes.
MAX_HEAD_BYTES = 65_536
#: Parts of a path in the interpreter's own folders, and the part that they count as.
OUTSIDE = ("aiohttp", "asyncio", "multidict", "yarl")
MICROSECONDS = 1_000_000


def run(*, quick: bool) -> dict[str, Any]:
    """Measure without a profile, then find the shares with one.

    :param quick: Whether to send fewer requests.
    :return: Microseconds of processor time a request, and the share of each part.
    """
    requests = QUICK_REQUESTS if quick else REQUESTS
    near, entry = LoopThread(), LoopThread()
    try:
        world = entry.run(_async_world())
        servers = [near.run(_async_serve(world, entry, n)) for n in range(TARGETS)]
        port = world.server.port
        near.run(_async_load(port, requests // 4))
        began = entry.call(time.thread_time)
        near.run(_async_load(port, requests))
        spent_s = entry.call(time.thread_time) - began
        profile = cProfile.Profile()
        entry.call(profile.enable)
        near.run(_async_load(port, requests))
        entry.call(profile.disable)
        entry.run(world.stop())
        for server in servers:
            near.call(server.close)
    finally:
        near.close()
        entry.close()
    shares = _shares(profile)
    for part, share in shares.items():
        print(f"{part:28} {share:.3f}")
    return {
        "requests": requests,
        "us_per_request": round(spent_s / requests * MICROSECONDS, 1),
        "shares": shares,
    }


def _shares(profile: cProfile.Profile) -> dict[str, float]:
    """Return the share of each slice or library in the time without its callees."""
    times: defaultdict[str, float] = defaultdict(float)
    for entry in profile.getstats():
        file = "~" if isinstance(entry.code, str) else entry.code.co_filename
        if not _is_wait(entry.code):
            times[_part(file)] += entry.inlinetime
    whole = sum(times.values())
    descending = sorted(times.items(), key=lambda pair: -pair[1])
    return {part: round(spent / whole, 3) for part, spent in descending}


def _is_wait(code: CodeType | str) -> bool:
    """Tell whether a function waits for events, in which no processor time is spent."""
    return isinstance(code, str) and "epoll" in code


def _part(file: str) -> str:
    pieces = file.split("/")
    if "mothshunt" in pieces:
        return "/".join(pieces[pieces.index("mothshunt") :][:2])
    for outside in OUTSIDE:
        if outside in pieces:
            return outside
    return "built-in" if file == "~" else "other"


async def _async_world() -> RoutedWorld:
    world = RoutedWorld()
    await world.start()
    return world


async def _async_serve(
    world: RoutedWorld, entry: LoopThread, number: int
) -> asyncio.Server:
    """Start a target that answers at once, and have the entry know it."""
    server = await asyncio.start_server(
        _async_answer, "127.0.0.1", 0, limit=MAX_HEAD_BYTES
    )
    port = server.sockets[0].getsockname()[1]
    entry.submit(_async_add(world, f"target-{number}", port)).result()
    return server


async def _async_add(world: RoutedWorld, name: str, port: int) -> None:
    world.add_target(name, port)


async def _async_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while True:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            # The entry has closed the connection.
            writer.close()
            return
        lines = (line.partition(":") for line in head.decode().split("\r\n"))
        value_by_name = {name.lower(): value.strip() for name, _, value in lines}
        request_id = value_by_name[HEADER_REQUEST_ID.lower()]
        answer = f"HTTP/1.1 200 OK\r\n{HEADER_REQUEST_ID}: {request_id}\r\n"
        answer += f"Content-Length: {len(BODY)}\r\n\r\n"
        writer.write(answer.encode() + BODY)


async def _async_load(port: int, requests: int) -> None:
    each = requests // CONNECTIONS
    await asyncio.gather(*(_async_ask(port, n, each) for n in range(CONNECTIONS)))


async def _async_ask(port: int, number: int, requests: int) -> None:
    """Send requests one after the other on one connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for index in range(requests):
        head = f"GET /reads/object-{(number + index) % OBJECTS} HTTP/1.1\r\n"
        head += f"Host: {HOST}\r\n{HEADER_REQUEST_ID}: {number}-{index}\r\n\r\n"
        writer.write(head.encode())
        answer = await reader.readuntil(b"\r\n\r\n")
        if not answer.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(f"the entry answered {answer[:40]!r}")
        await reader.readexactly(len(BODY))
    writer.close()
