"""Steps for what a load counts."""

import asyncio

from behave import given, then, when

from testkit.caller import Caller, Outcome, Request, Result, make_session
from testkit.load import LoadReport
from testkit.loop_thread import LoopThread
from testkit.ports import HOST
from testkit.target.config import Endpoint


@given("a {method} that ended as {outcome}, said to have run: {ran}")
def ended(context, method, outcome, ran):
    request = Request(request_id="r", service="s", method=method)
    said = "" if ran == "-" else ran
    result = Result(request=request, outcome=Outcome(outcome), ran=said)
    context.report = LoadReport(results=[result])


@when("targets ran it {runs:d} times")
def ran(context, runs):
    context.runs = {"r": runs}


@then("the load reports {count:d} violations")
def violations(context, count):
    found = context.report.violations(context.runs)
    assert len(found) == count, found


@given("a server that closes each connection after reading a request")
def closing_server(context):
    context.loop = LoopThread()
    context.stack.callback(context.loop.close)
    context.heads = []

    async def serve(reader, writer):
        context.heads.append(await reader.readuntil(b"\r\n\r\n"))
        writer.close()

    async def start():
        server = await asyncio.start_server(serve, HOST, 0)
        return server.sockets[0].getsockname()[1]

    context.port = context.loop.run(start())


@when("a caller sends a PUT to it over a {kind} connection")
def send_put(context, kind):
    entry = Endpoint(host=HOST, port=context.port)
    request = Request(request_id="r", service="s", method="PUT")

    async def send():
        async with make_session(kept_connections=kind == "kept") as session:
            caller = Caller(customer="c", client="", ask=[entry], session=session)
            return await caller.async_send_to(entry, request)

    context.result = context.loop.run(send())


@then("the server has read {count:d} request")
def has_read(context, count):
    assert len(context.heads) == count, context.heads


@then("the caller was told that the connection broke")
def told_broken(context):
    assert context.result.outcome is Outcome.BROKEN, context.result
