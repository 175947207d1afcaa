"""What raw targets behind a routed entry do with a request."""

import asyncio
import socket
import struct

ID = "mothshunt-request-id"


def echo(request, body: bytes, status="200 OK", headers="", length=True) -> bytes:
    head = f"HTTP/1.1 {status}\r\nMothshunt-Request-Id: "
    head += f"{request.header_by_name.get(ID, '')}\r\n{headers}"
    if length:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


async def answers(target, request, writer):
    writer.write(echo(request, request.header_by_name[ID].encode()))


async def closes(target, request, writer):
    writer.close()


async def turns_away(target, request, writer):
    writer.write(echo(request, b"", "503 Busy", "Mothshunt-Ran: no\r\n"))


async def turns_away_with_room(target, request, writer):
    headers = "Mothshunt-Ran: no\r\nMothshunt-Load: 1,0,4\r\n"
    writer.write(echo(request, b"", "503 Busy", headers))


async def turns_away_every_other(target, request, writer):
    target.turned_away = not getattr(target, "turned_away", False)
    if target.turned_away:
        await turns_away_with_room(target, request, writer)
    else:
        await answers(target, request, writer)


async def repeats_refusal(target, request, writer):
    """Turn an order away; before running it, send that refusal again if it can."""
    order = request.header_by_name[ID]
    before = [r for r in target.requests[:-1] if r.header_by_name[ID] == order]
    if not before:
        await turns_away_with_room(target, request, writer)
        return
    if before[-1].connection == request.connection:
        await turns_away_with_room(target, request, writer)
        await asyncio.sleep(0.005)
    target.ran = [*getattr(target, "ran", []), order]
    await answers(target, request, writer)


async def turns_away_full(target, request, writer):
    headers = "Mothshunt-Ran: no\r\nMothshunt-Load: 4,8,4\r\n"
    writer.write(echo(request, b"", "503 Busy", headers))


async def fails_with_503(target, request, writer):
    writer.write(echo(request, b"", "503 Busy"))


async def fails_with_500(target, request, writer):
    writer.write(echo(request, b"", "500 Broken"))


async def never(target, request, writer):
    await asyncio.sleep(3600)


async def late(target, request, writer):
    await asyncio.sleep(0.3)
    target.finished = getattr(target, "finished", 0) + 1
    writer.write(echo(request, b"late"))


async def overdue(target, request, writer):
    await asyncio.sleep(1.4)
    writer.write(echo(request, b"overdue"))


async def twice(target, request, writer):
    writer.write(echo(request, request.header_by_name[ID].encode()))
    await asyncio.sleep(0.005)
    writer.write(echo(request, b"again"))


async def reset_unframed(target, request, writer):
    writer.write(echo(request, b"half of it", length=False))
    await writer.drain()
    await asyncio.sleep(0.05)
    reset(writer)


async def unframed(target, request, writer):
    writer.write(echo(request, b"all of it", length=False))
    writer.close()


LONG = 300_000


def chunked(request, *pieces: bytes) -> bytes:
    headers = "Transfer-Encoding: chunked\r\n"
    return echo(request, b"".join(pieces), headers=headers, length=False)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def truncated(target, request, writer):
    writer.write(echo(request, b"x" * 100)[:-50])
    writer.close()


def ends_in_head(*, resets):
    async def end_in_head(target, request, writer):
        """End one byte later with each request, up to the last byte of the head."""
        whole = echo(request, request.header_by_name[ID].encode())
        head_bytes = whole.index(b"\r\n\r\n") + 4
        writer.write(whole[: len(target.requests) % head_bytes])
        await writer.drain()
        if resets:
            await asyncio.sleep(0.002)
            reset(writer)
        else:
            writer.close()

    return end_in_head


def reset(writer):
    """Close a connection with a reset, by a linger time of 0."""
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def truncated_long(target, request, writer):
    writer.write(echo(request, b"x" * LONG)[: -LONG // 2])
    await writer.drain()
    writer.close()


async def in_chunks(target, request, writer):
    writer.write(chunked(request, chunk(b"x"), chunk(b"all of it"), chunk(b"")))


async def without_last_chunk(target, request, writer):
    writer.write(chunked(request, chunk(b"x" * 100)))
    writer.close()


async def chunk_without_length(target, request, writer):
    writer.write(chunked(request, chunk(b"x" * 100), b"no length\r\n"))


async def answer_in_chunk(target, request, writer):
    writer.write(chunked(request, chunk(b"x" * 100)) + echo(request, b"again"))


def falls_silent(start):
    """Send the start of a response and nothing more."""

    async def fall_silent(target, request, writer):
        writer.write(start(request))
        await asyncio.sleep(60)

    return fall_silent


def trickles(start, piece: bytes):
    """Send the start of a response, and go on by a byte now and then."""

    async def trickle(target, request, writer):
        writer.write(start(request))
        while True:
            await asyncio.sleep(0.05)
            writer.write(piece)

    return trickle


def half_long(request) -> bytes:
    return echo(request, b"x" * LONG)[: -LONG // 2]


def half_chunked(request) -> bytes:
    return chunked(request, chunk(b"x" * 100))


def half_unframed(request) -> bytes:
    return echo(request, b"half of it", length=False)


async def endless(target, request, writer):
    writer.write(half_unframed(request))
    while True:
        writer.write(b"x" * 16384)
        await writer.drain()
        await asyncio.sleep(0.002)


async def pauses_unframed(target, request, writer):
    writer.write(half_unframed(request))
    await asyncio.sleep(0.4)
    writer.write(b"all of it")
    writer.close()


async def large(target, request, writer):
    writer.write(echo(request, b"x" * 8_000_000))
    await writer.drain()


async def incomplete_second(target, request, writer):
    if request.header_by_name[ID] == "id-0":
        await answers(target, request, writer)
        return
    await asyncio.sleep(0.1)
    writer.write(half_chunked(request))
    await asyncio.sleep(60)


async def invalid_status(target, request, writer):
    writer.write(echo(request, request.header_by_name[ID].encode(), "000 Odd"))


async def bytes_after(target, request, writer):
    own = request.header_by_name[ID].encode()
    writer.write(echo(request, own) + b"\x00bytes of no protocol\r\n\r\n")


async def bytes_after_chunks(target, request, writer):
    own = request.header_by_name[ID].encode()
    whole = chunked(request, chunk(own), b"0\r\n\r\n")
    writer.write(whole + b"\x00bytes of no protocol\r\n\r\n")


async def twice_at_once(target, request, writer):
    whole = echo(request, request.header_by_name[ID].encode())
    writer.write(whole + whole)


LEAVING = "Mothshunt-Leaving: 1\r\n"
NOT_RUN = "Mothshunt-Ran: no\r\n"


async def answers_leaving(target, request, writer):
    own = request.header_by_name[ID].encode()
    writer.write(echo(request, own, headers=LEAVING))


async def fails_leaving(target, request, writer):
    writer.write(echo(request, b"", "500 Broken", LEAVING))


async def turns_away_leaving(target, request, writer):
    room = "Mothshunt-Load: 1,0,4\r\n"
    writer.write(echo(request, b"", "503 Busy", NOT_RUN + LEAVING + room))


async def stranger_leaving(target, request, writer):
    writer.write(echo(request, b"", "421 Not me", LEAVING))


async def other_answer_leaving(target, request, writer):
    """Send a late copy of another answer before the own one."""
    head = f"HTTP/1.1 200 OK\r\nMothshunt-Request-Id: another\r\n{LEAVING}"
    if len(target.requests) > 1:
        writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
    await answers(target, request, writer)


def pauses(value: str, *, status="503 Busy", not_run=NOT_RUN):
    async def pause(target, request, writer):
        room = "Mothshunt-Load: 1,0,4\r\n"
        headers = f"{not_run}{room}Retry-After: {value}\r\n"
        writer.write(echo(request, b"", status, headers))

    return pause


def names_limit(value: str, status="200 OK"):
    async def name_limit(target, request, writer):
        own = request.header_by_name[ID].encode()
        headers = f"Mothshunt-Rate-Limit: {value}\r\n"
        writer.write(echo(request, own, status, headers))

    return name_limit


BEHAVIOURS = {
    "names a rate limit of 5.7": names_limit("5.7"),
    "names a rate limit of 0": names_limit("0"),
    "fails and names a rate limit of 5.7": names_limit("5.7", "500 Broken"),
    "is another one that names a rate limit": names_limit("5.7", "421 Not me"),
    "names an empty rate limit": names_limit(""),
    "names a rate limit in words": names_limit("few"),
    "names a negative rate limit": names_limit("-5"),
    "names a rate limit of nan": names_limit("nan"),
    "names a rate limit with an exponent": names_limit("1e400"),
    "answers that it leaves": answers_leaving,
    "fails and says that it leaves": fails_leaving,
    "turns away with room and says that it leaves": turns_away_leaving,
    "is another one that leaves": stranger_leaving,
    "sends an older answer that it leaves": other_answer_leaving,
    "asks for a pause of 0.6 s": pauses("0.6"),
    "asks for a pause of 2 s": pauses("2"),
    "asks for a pause of 2 s after running": pauses("2", not_run=""),
    "asks for a pause of 2 s with status 429": pauses("2", status="429 Busy"),
    "asks for an unreadable pause": pauses("soon"),
    "asks for a pause of less than nothing": pauses("-5"),
    "answers": answers,
    "closes after reading": closes,
    "turns away": turns_away,
    "turns away with room": turns_away_with_room,
    "turns away every other request with room": turns_away_every_other,
    "turns away without room": turns_away_full,
    "turns away, and once more before it runs the retry": repeats_refusal,
    "answers 503 after running": fails_with_503,
    "answers 500": fails_with_500,
    "answers 000": invalid_status,
    "never answers": never,
    "answers after 300 ms": late,
    "answers after 1.4 s": overdue,
    "answers twice, the second time late": twice,
    "is reset in an answer without a length": reset_unframed,
    "ends an answer with its connection": unframed,
    "ends within the head": ends_in_head(resets=False),
    "is reset within the head": ends_in_head(resets=True),
    "ends before the length of its answer": truncated,
    "ends before the length of a long answer": truncated_long,
    "sends an answer in chunks": in_chunks,
    "ends before its last chunk": without_last_chunk,
    "falls silent in an answer without a length": falls_silent(half_unframed),
    "falls silent in an answer in chunks": falls_silent(half_chunked),
    "falls silent in a long answer": falls_silent(half_long),
    "falls silent in a short answer": falls_silent(lambda r: echo(r, b"short")[:-1]),
    "falls silent after 8 MB": falls_silent(
        lambda request: echo(request, b"x" * 8_000_001)[:-1]
    ),
    "sends a byte of a long answer now and then": trickles(half_long, b"x"),
    "sends a chunk of one byte now and then": trickles(half_chunked, chunk(b"x")),
    "sends an answer without end": endless,
    "pauses for 400 ms in an answer without a length": pauses_unframed,
    "sends 8 MB at once": large,
    "answers the second request late and incompletely": incomplete_second,
    "sends a chunk without a length": chunk_without_length,
    "sends another answer in place of a chunk": answer_in_chunk,
    "sends bytes of no protocol after its answer": bytes_after,
    "sends bytes of no protocol after its chunks": bytes_after_chunks,
    "sends its answer twice in one piece": twice_at_once,
}
