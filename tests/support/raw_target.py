"""A target on a raw socket that does as a test says, and notes what reaches it."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from mothshunt.core.const import HEADER_REQUEST_ID

Behaviour = Callable[["RawTarget", "RawRequest", asyncio.StreamWriter], Awaitable[None]]


@dataclass(slots=True)
class RawRequest:
    """Hold one request as it came."""

    number: int
    connection: int
    method: str
    path: str
    header_by_name: dict[str, str]
    body: bytes


@dataclass(slots=True)
class RawTarget:
    """Serve raw HTTP/1.1 on a free port."""

    name: str
    behaviour: Behaviour
    port: int = 0
    requests: list[RawRequest] = field(default_factory=list)
    connections: int = 0
    closed_connections: int = 0
    lost: asyncio.Event = field(default_factory=asyncio.Event)
    server: asyncio.Server | None = None
    tasks: list[asyncio.Task] = field(default_factory=list)

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _accept(self, reader, writer) -> None:
        self.connections += 1
        serving = self._serve(self.connections, reader, writer)
        self.tasks.append(asyncio.ensure_future(serving))

    async def _serve(self, connection, reader, writer) -> None:
        try:
            while True:
                request = await self._read(reader, connection)
                self.requests.append(request)
                work = asyncio.ensure_future(self.behaviour(self, request, writer))
                await self._async_finish(work, reader)
                if writer.is_closing():
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed_connections += 1
            writer.close()

    async def _async_finish(self, work, reader) -> None:
        """Wait for the behaviour, and note when the connection is lost meanwhile."""
        while not work.done():
            await asyncio.wait([work], timeout=0.01)
            # A reset is told as an exception, not as an end.
            is_lost = reader.at_eof() or reader.exception() is not None
            if is_lost and not work.done():
                self.lost.set()
                work.cancel()
                await asyncio.gather(work, return_exceptions=True)
                raise ConnectionResetError
        try:
            work.result()
        except ConnectionError:
            # The writer noticed the loss before the reader did.
            self.lost.set()
            raise

    async def _read(self, reader, connection) -> RawRequest:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        method, path, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
        body = await self._read_body(reader, headers)
        return RawRequest(
            len(self.requests) + 1, connection, method, path, headers, body
        )

    async def _read_body(self, reader, headers) -> bytes:
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        if headers.get("transfer-encoding") != "chunked":
            return b""
        body = b""
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body


def answer(body: bytes, status: str = "200 OK", headers: str = "") -> bytes:
    """Return a whole answer with a content length."""
    head = f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def own_answer(target, request, *, echoes: bool = True) -> bytes:
    """Return the name of the target and the path, with the id of the request."""
    request_id = request.header_by_name.get(HEADER_REQUEST_ID.lower(), "")
    headers = f"{HEADER_REQUEST_ID}: {request_id}\r\n" if echoes else ""
    return answer(f"{target.name} {request.path}".encode(), headers=headers)


async def ok(target, request, writer) -> None:
    """Answer with the name of the target and the path."""
    writer.write(own_answer(target, request))


async def ok_without_id(target, request, writer) -> None:
    """Answer without the id of the request."""
    writer.write(own_answer(target, request, echoes=False))


async def earlier_first(target, request, writer, *, echoes: bool = True) -> None:
    """Send the answer to the request before once more, then the own one."""
    earlier = [r for r in target.requests if r.connection == request.connection][:-1]
    if earlier:
        writer.write(own_answer(target, earlier[-1], echoes=echoes))
        await asyncio.sleep(0.005)
    writer.write(own_answer(target, request, echoes=echoes))


async def earlier_first_without_id(target, request, writer) -> None:
    """Send the answer to the request before once more; no answer has an id."""
    await earlier_first(target, request, writer, echoes=False)


async def id_lost_later(target, request, writer) -> None:
    """Echo ids at first; then send an earlier answer without one."""
    earlier = [r for r in target.requests if r.connection == request.connection][:-1]
    if earlier:
        writer.write(own_answer(target, earlier[-1], echoes=False))
        await asyncio.sleep(0.005)
    writer.write(own_answer(target, request))


async def close_unanswered(target, request, writer) -> None:
    """Close the connection after reading the request."""
    writer.close()


async def silent(target, request, writer) -> None:
    """Never answer."""
    await asyncio.sleep(3600)


async def slow(target, request, writer) -> None:
    """Answer after a while."""
    await asyncio.sleep(0.3)
    await ok(target, request, writer)


async def shed(target, request, writer) -> None:
    """Turn the request away without running it."""
    headers = "Mothshunt-Ran: no\r\nRetry-After: 7\r\n"
    writer.write(answer(b"busy", "503 Busy", headers))


async def invalid_status(target, request, writer) -> None:
    """Answer with a status that HTTP does not have."""
    writer.write(answer(b"odd", "000 Odd"))


async def short_length(target, request, writer) -> None:
    """Send less than the content length says, then close."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf an answer")
    writer.close()


async def endless_chunks(target, request, writer) -> None:
    """Send chunks without the last one, then close."""
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
    await asyncio.sleep(0.02)
    writer.close()


async def broken_chunks(target, request, writer) -> None:
    """Send a malformed chunk and leave the connection open."""
    writer.write(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n"
    )
    await asyncio.sleep(3600)


async def unframed(target, request, writer) -> None:
    """Mark the end of the answer by closing only."""
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf an answer")
    writer.close()


async def doubled(target, request, writer) -> None:
    """Send the same answer twice, the second a little later."""
    writer.write(own_answer(target, request))
    await asyncio.sleep(0.02)
    writer.write(own_answer(target, request))


async def doubled_soon(target, request, writer) -> None:
    """Send the same answer twice, the second when another request may be waiting."""
    writer.write(own_answer(target, request))
    await asyncio.sleep(0.005)
    writer.write(own_answer(target, request))


async def late_once(target, request, writer) -> None:
    """Answer the first request late."""
    if request.number == 1:
        await asyncio.sleep(0.4)
    await ok(target, request, writer)


async def large(target, request, writer) -> None:
    """Send an answer that is too large to be read whole."""
    writer.write(answer(b"x" * 300_000))


async def large_then_break(target, request, writer) -> None:
    """Break off in the middle of a large answer."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 300_000)
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.close()


async def first_only(target, request, writer) -> None:
    """Answer the first request of each connection, then go silent."""
    on_connection = [r for r in target.requests if r.connection == request.connection]
    if len(on_connection) == 1:
        await ok(target, request, writer)
    else:
        await asyncio.sleep(3600)


async def slow_later(target, request, writer) -> None:
    """Answer the first request at once, and each later one after a while."""
    if len(target.requests) > 1:
        await asyncio.sleep(0.6)
    await ok(target, request, writer)


async def usually_quick(target, request, writer) -> None:
    """Answer the first request in 60 ms, and each later one in 1.5 s."""
    await asyncio.sleep(0.06 if len(target.requests) == 1 else 1.5)
    await ok(target, request, writer)


async def large_then_silent(target, request, writer) -> None:
    """Go silent in the middle of a large answer."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 300_000)
    await asyncio.sleep(3600)


async def endless(target, request, writer) -> None:
    """Send parts of an answer for as long as somebody reads them."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n")
    while True:
        writer.write(b"x" * 100_000)
        await writer.drain()
        await asyncio.sleep(0.005)


async def small_chunks(target, request, writer) -> None:
    """Answer in chunks, with an end."""
    writer.write(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n"
    )


BEHAVIOURS = {
    "answers without the id of the request": ok_without_id,
    "sends an earlier answer before its own": earlier_first,
    "sends an earlier answer before its own, without ids": earlier_first_without_id,
    "sends an earlier answer without an id before its own": id_lost_later,
    "is slow after its first request": slow_later,
    "answers in 60 ms once and in 1500 ms later": usually_quick,
    "answers twice, the second time soon": doubled_soon,
    "answers the first request late": late_once,
    "answers the first request of a connection only": first_only,
    "goes silent in a large answer": large_then_silent,
    "answers without an end": endless,
    "answers in small chunks": small_chunks,
    "answers": ok,
    "closes after reading": close_unanswered,
    "never answers": silent,
    "answers after a while": slow,
    "sheds": shed,
    "answers 000": invalid_status,
    "sends a short body": short_length,
    "sends chunks without an end": endless_chunks,
    "sends broken chunks": broken_chunks,
    "sends an unframed body": unframed,
    "answers twice": doubled,
    "sends a large answer": large,
    "breaks off a large answer": large_then_break,
}
