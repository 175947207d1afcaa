"""Steps for the stand-in target."""

import http.client
import json
import tempfile
import threading
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, then, when

from testkit import answers
from testkit.fleet import ANY_PORT, TargetFleet
from testkit.loop_thread import LoopThread
from testkit.ports import HOST, PortReservations
from testkit.process import wait_until
from testkit.target.config import Endpoint, TargetConfig
from tests.support.recording_entry import RecordingEntry

TARGET = "t1"
BOUND_S = 20


def send(target, request_id, service_ms=None):
    connection = http.client.HTTPConnection(HOST, target.listen.port, timeout=BOUND_S)
    try:
        return send_on(connection, request_id, service_ms)
    finally:
        connection.close()


def send_on(connection, request_id, service_ms=None):
    headers = {"X-Test-Id": request_id}
    if service_ms is not None:
        headers["X-Test-Service-Ms"] = str(service_ms)
    connection.request("PUT", "/things", body=b"data", headers=headers)
    response = connection.getresponse()
    return response.status, response.read(), dict(response.headers)


def is_whole(answer, request_id):
    return answer[0] == 200 and answers.verify(answer[1], request_id) is not None


@given("an entry that records announcements")
def recording_entry(context):
    loop = LoopThread()
    context.stack.callback(loop.close)
    context.ports = PortReservations()
    context.stack.callback(context.ports.close)
    context.recorder = RecordingEntry(context.ports.take())
    loop.run(context.recorder.async_start())
    context.stack.callback(lambda: loop.run(context.recorder.async_stop()))


@given("a stand-in target with {slots:d} slots")
def target(context, slots):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    dead_entry = Endpoint(host=HOST, port=context.ports.take())
    live_entry = Endpoint(host=HOST, port=context.recorder.port)
    context.fleet = TargetFleet(
        entries=(dead_entry, live_entry), ports=context.ports, folder=Path(folder)
    )
    context.stack.callback(context.fleet.close)
    config = TargetConfig(
        target=TARGET,
        customer="rackhaven",
        service="cabinet-status",
        region="north",
        availability_zone="north-a",
        listen=Endpoint(host=HOST, port=ANY_PORT),
        slots=slots,
        leave_grace_s=0.5,
    )
    process = context.fleet.add("targets", [config])
    context.target = process.targets[0]


@then("the entry hears from the target with a load")
def hears_with_load(context):
    heard = context.recorder.announcements
    wait_until(lambda: any("load" in item for item in heard), BOUND_S, "announced")
    assert heard[-1]["port"] == context.target.listen.port


@when("the target process is asked to stop during a request")
def stop_during_request(context):
    with ThreadPoolExecutor(1) as pool:
        pending = pool.submit(send, context.target, "long", 1500)
        wait_until(
            lambda: context.fleet.stats(TARGET)["in_flight"] == 1, BOUND_S, "running"
        )
        process = context.fleet.process_of(TARGET).process
        process.terminate()
        process.terminate()
        context.answer = pending.result()
    context.exit_code = process.wait(BOUND_S)


@then("the request is answered in whole")
def long_is_whole(context):
    assert is_whole(context.answer, "long"), context.answer


@then("the entry hears that the target is leaving before it leaves")
def hears_leaving(context):
    assert context.recorder.announcements[-1]["state"] == "leaving"
    left = context.recorder.leaves
    assert [item["target"] for item in left] == [TARGET], left


@then("the target process exits with {code:d}")
def exits(context, code):
    assert context.exit_code == code, context.exit_code


@when("{count:d} requests of {service_ms:d} ms are sent to the target at once")
def send_at_once(context, count, service_ms):
    barrier = threading.Barrier(count)

    def one(number):
        barrier.wait()
        return send(context.target, f"r{number}", service_ms)

    with ThreadPoolExecutor(count) as pool:
        context.answers = list(pool.map(one, range(count)))


@then("{whole:d} of them are answered in whole and {shed:d} is shed as not run")
def whole_and_shed(context, whole, shed):
    found = [is_whole(a, f"r{n}") for n, a in enumerate(context.answers)]
    assert found.count(True) == whole, context.answers
    refused = [a for a in context.answers if a[0] == 503]
    assert len(refused) == shed, context.answers
    assert all(a[2]["Mothshunt-Ran"] == "no" for a in refused), refused


@when('the request "{request_id}" is sent to the target {count:d} times')
def send_times(context, request_id, count):
    for _ in range(count):
        send(context.target, request_id)


@then('the target\'s record shows "{request_id}" run {count:d} times')
def recorded(context, request_id, count):
    found = context.fleet.run_count_by_id()
    assert found[request_id] == count, found


@when("the target is told to {behaviour} once")
def told_once(context, behaviour):
    context.fleet.behave(TARGET, **json.loads(behaviour), times=1)


@when("the target is told for good to {behaviour}")
def told(context, behaviour):
    context.fleet.behave(TARGET, **json.loads(behaviour))


@then('the request "{request_id}" to the target gets no whole answer')
def no_whole_answer(context, request_id):
    try:
        answer = send(context.target, request_id)
    except (http.client.HTTPException, OSError):
        return
    assert not is_whole(answer, request_id), answer


@then('the request "{request_id}" is answered in whole')
def answered_whole(context, request_id):
    answer = send(context.target, request_id)
    assert is_whole(answer, request_id), answer


@given("a kept connection to the target that has carried a request")
def kept_connection(context):
    port = context.target.listen.port
    context.kept = http.client.HTTPConnection(HOST, port, timeout=1)
    context.stack.callback(context.kept.close)
    assert is_whole(send_on(context.kept, "first"), "first")


@when("the target's open connections go silent")
def go_silent(context):
    assert context.fleet.silence_open(TARGET) >= 1


@then("the kept connection carries no further request")
def carries_none(context):
    try:
        answer = send_on(context.kept, "second")
    except TimeoutError:
        return
    raise AssertionError(answer)


@then("the entry soon hears of {count:d} requests in flight")
def hears_of(context, count):
    heard = context.recorder.announcements

    def found():
        return heard and heard[-1].get("load", {}).get("in_flight") == count

    wait_until(found, BOUND_S, f"{count} in flight")


@then("the entry soon hears from the target without a load")
def hears_without(context):
    heard = context.recorder.announcements
    wait_until(lambda: heard and "load" not in heard[-1], BOUND_S, "no load")


@when("the target process is killed")
def killed(context):
    context.fleet.process_of(TARGET).process.kill()
