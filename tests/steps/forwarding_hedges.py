"""Steps for hedged attempts."""

import asyncio
from collections import Counter

from behave import given, then

from mothshunt.core.types import Ran
from mothshunt.forwarding.attempt import AttemptResult, TargetResponse
from mothshunt.forwarding.retry import RetryState, hedge_delay_s
from mothshunt.forwarding.tries import RequestAttempts, RunningAttempt
from mothshunt.isolation.model import NoIsolation
from mothshunt.placement.model import AttemptOutcome, Choice
from tests.steps.forwarding_attempts import set_up
from tests.support import placement_world
from tests.support.target_behaviours import ID

TARGET = placement_world.target(1, 4)


@given("a routed entry whose retry budget is empty")
def empty_budget(context):
    set_up(context, ratio=0.0, slack=0.0)


class TakingIsolation(NoIsolation):
    """Takes the attempts that are left after some time, as a relay does."""

    def __init__(self, after_s):
        self.after_s = after_s

    async def async_run(self, request, outgoing, retry_state, run):
        if not self.after_s:
            retry_state.take_attempts_left()
            return await run()
        running = asyncio.ensure_future(run())
        await asyncio.sleep(self.after_s)
        assert retry_state.take_attempts_left() == 1
        return await running


@given("its requests are relayed as well after {after_ms:d} ms")
def relayed_as_well(context, after_ms):
    context.world.server._forwarder._isolation = TakingIsolation(after_ms / 1000)


@then("the targets got no request")
def no_requests(context):
    assert not any(target.requests for target in context.target_by_name.values())


@then("no target got the same request twice")
def no_request_twice(context):
    for target in context.target_by_name.values():
        counts = Counter(request.header_by_name[ID] for request in target.requests)
        assert all(count == 1 for count in counts.values()), counts


class ConnectionEndTarget:
    """Target that reads requests, never responds, and records resets and closes."""

    def __init__(self):
        self.ends = asyncio.Queue()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()

    async def _serve(self, reader, writer):
        try:
            while await reader.read(65536):
                continue
            self.ends.put_nowait("closed")
        except ConnectionResetError:
            self.ends.put_nowait("reset")
        writer.close()


@given("a routed target that notes how its connections end")
def connection_end_target(context):
    target = ConnectionEndTarget()
    context.runner.run(target.start())
    context.target_by_name["t1"] = target
    context.world.add_target("t1", target.port)


@then("the connection to that target was reset")
def was_reset(context):
    ends = context.target_by_name["t1"].ends
    end = context.runner.run(asyncio.wait_for(ends.get(), 2.0))
    assert end == "reset", end


class Connection:
    """Stand-in for a connection that records whether it was closed."""

    is_closed = False

    def abort(self):
        self.is_closed = True


@then("if two attempts end at once with streamed responses, one connection is closed")
def streamed_responses(context):
    async def run():
        attempts = RequestAttempts(
            outgoing=None, retry_state=RetryState(is_idempotent=True, max_attempts=2)
        )
        connections = [Connection(), Connection()]
        for connection in connections:
            response = TargetResponse(
                message=None, payload=None, buffered_body=None, connection=connection
            )
            task = asyncio.create_task(ended_with(response))
            attempts.running[task] = RunningAttempt(
                Choice(target=TARGET, sent_at=0.0, load=1.0, reason="test")
            )
        await asyncio.wait(attempts.running)
        attempts.record_end(next(iter(attempts.running)))
        attempts.cancel()
        return [connection.is_closed for connection in connections]

    assert asyncio.run(run()) == [False, True]


async def ended_with(response):
    return AttemptResult(
        outcome=AttemptOutcome.ANSWERED, ran=Ran.UNKNOWN, response=response
    )


@then(
    "with a usual response time of {usual:d} ms and {time:d} ms to the deadline, the"
    " hedge delay is {delay:d} ms"
)
def hedge_delay(context, usual, time, delay):
    found = hedge_delay_s(usual / 1000, time / 1000)
    assert abs(found - delay / 1000) < 1e-9, found


@then("both targets got requests")
def both_got(context):
    counts = [len(target.requests) for target in context.target_by_name.values()]
    assert all(counts), counts
