"""Steps for responses whose head is not valid HTTP."""

import asyncio

from behave import then, when

from tests.support.response_heads import async_exchanges

BODY = b"all of it"
CHUNKED = b"9\r\nall of it\r\n0\r\n"
START = b"HTTP/1.1 200 OK\r\n"
#: Values of the fields that have a meaning for the framing of a response.
VALUE_BY_NAME = {
    "Connection": "close",
    "Content-Length": "9",
    "Transfer-Encoding": "chunked",
    "Upgrade": "websocket",
}
#: Invalid forms of a name.
FORMS = ("{} ", "{}  ", "{}\t", "{}\0", "{}\x01", "{}\x7f", "{} x", "{}\tx")


def unescaped(text):
    return text.encode("latin-1").decode("unicode_escape").encode("latin-1")


def invalid_lines(names):
    """Return a field in each invalid form of each name."""
    for name in names:
        middle = name[:2] + " " + name[2:]
        for form in [*(form.format(name) for form in FORMS), middle]:
            yield f"{form}: {VALUE_BY_NAME.get(name, 'x')}\r\n".encode()


def exchange(context, way, head, *, is_trickled=False, trailer=b""):
    """Answer requests with a head and ``BODY``; add a length unless it has framing."""
    has_framing = b"content-length" in head.lower() or b"chunked" in head
    framing = b"" if has_framing else b"Content-Length: %d\r\n" % len(BODY)
    body = CHUNKED + trailer + b"\r\n" if b"chunked" in head else BODY
    response = head + framing + b"\r\n" + body
    found = asyncio.run(async_exchanges(way, response, is_trickled=is_trickled))
    context.exchanges += [(head, exchange) for exchange in found]


@when("a target answers requests by way of {way} with these heads:")
def answers_with_heads(context, way):
    """Send each head at once and byte by byte."""
    context.exchanges, context.status_by_head = [], {}
    for row in context.table:
        head = unescaped(row["head"])
        context.status_by_head[head] = int(row.get("status", 0))
        for is_trickled in (False, True):
            exchange(context, way, head, is_trickled=is_trickled)


@when("a target answers requests by way of {way} with invalid forms of these names:")
def answers_with_names(context, way):
    """Send each form in the first and in the last line of a head."""
    context.exchanges = []
    for line in invalid_lines(row["name"] for row in context.table):
        exchange(context, way, START + line + b"%ID%")
        exchange(context, way, START + b"%ID%" + line)


@when("a target answers requests by way of {way} with invalid forms of these trailers:")
def answers_with_trailers(context, way):
    context.exchanges = []
    head = START + b"%ID%Transfer-Encoding: chunked\r\n"
    for line in invalid_lines(row["name"] for row in context.table):
        exchange(context, way, head, trailer=line)


@then("each caller got status 502 and is not told that its request was not run")
def got_bad_gateway(context):
    wrong = [
        (head, exchange)
        for head, exchange in context.exchanges
        if (exchange.status, exchange.ran) != (502, "unknown")
        or (exchange.method == "POST" and exchange.arrivals != 1)
    ]
    count = f"{len(wrong)} of {len(context.exchanges)}"
    assert not wrong, (count, wrong[:3])


@then("each caller got status 502, or the body of the target without the trailer")
def got_no_trailer(context):
    expected = {(502, "unknown", None), (200, None, BODY)}
    for _, exchange in context.exchanges:
        body = exchange.body if exchange.status == 200 else None
        assert (exchange.status, exchange.ran, body) in expected, exchange
        assert not set(" \t\0\x01\x7f") & set("".join(exchange.names)), exchange


@then("each caller got the status and body of the target")
def got_answer(context):
    for head, exchange in context.exchanges:
        expected = (context.status_by_head[head], BODY)
        assert (exchange.status, exchange.body) == expected, (head, exchange)
