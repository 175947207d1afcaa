"""Steps for responses whose head is not valid HTTP."""

import asyncio

from behave import then, when

from tests.support.response_heads import async_exchanges

BODY = b"all of it"


def unescaped(text):
    return text.encode("latin-1").decode("unicode_escape").encode("latin-1")


@when("a target answers requests by way of {way} with these heads:")
def answers_with_heads(context, way):
    """Send each head at once and byte by byte, with a length unless it has one."""
    context.exchanges = []
    for row in context.table:
        head = unescaped(row["head"])
        framing = b"Content-Length: %d\r\n" % len(BODY)
        response = head + (b"" if b"Length" in head else framing) + b"\r\n" + BODY
        for is_trickled in (False, True):
            found = asyncio.run(async_exchanges(way, response, is_trickled=is_trickled))
            context.exchanges += [(row, exchange) for exchange in found]


@then("each caller got status 502 and is not told that its request was not run")
def got_bad_gateway(context):
    for row, exchange in context.exchanges:
        found = (exchange.status, exchange.ran, exchange.odd_field)
        assert found == (502, "unknown", False), (row["head"], exchange)
        assert exchange.method == "GET" or exchange.arrivals == 1, (row, exchange)


@then("each caller got the status and body of the target")
def got_answer(context):
    for row, exchange in context.exchanges:
        found = (exchange.status, exchange.body)
        assert found == (int(row["status"]), BODY), (row["head"], exchange)
