"""Steps for restarts and silences in a routed deployment of real processes."""

import asyncio
import json
from random import Random

import aiohttp
from behave import given, then, when

from mothshunt.core.const import HEADER_DEADLINE_MS, HEADER_REQUEST_ID
from testkit.plain_http import http_send
from testkit.process import wait_until
from testkit.routed_deployment import CALLERS_HOST, RoutedDeployment, routing_items

READY_S = 20.0
#: Longest wait for an answer, in seconds: without a majority an instance says so after
#: the 5 s for which it asks for one, and must be heard.
ANSWER_S = 10.0
CALL_S = 15.0


def command(context, *words):
    done = context.routed.command(*words)
    assert done.returncode == 0, done
    return done


def restart(instance):
    instance.process.kill()
    instance.process.start()


@when(
    "target {number:d} leaves while processes are killed and started again "
    "by seed {seed:d}"
)
def leaves_among_restarts(context, number, seed):
    """Kill one control instance, let the target leave, and start others again."""
    routed, random = context.routed, Random(seed)
    target = routed.targets[number - 1]
    controls = routed.deployment.control_instances
    down = random.choice(controls)
    down.process.kill()
    routed.run(stop_renewing(target))
    leaving = {**target.renewal(), "state": "leaving"}
    late = target.renewal()

    async def leave():
        await routed.async_until(lambda: accepted(routed, leaving))
        status, _ = await routed.send("DELETE", f"/v1/targets/{target.name}")
        assert status < 400, status

    routed.run(leave())
    down.process.start()
    others = [i for i in routed.deployment.instances if i is not down]
    # One control instance at a time, so that a majority stays.
    for instance in random.sample(others, k=len(others)):
        wait_until(down.is_ready, READY_S, f"{down.id} is ready")
        restart(instance)
        routed.run(send_late(routed, late))
        wait_until(instance.is_ready, READY_S, f"{instance.id} is ready")
    routed.run(send_late(routed, late))
    target.requests.clear()


async def stop_renewing(target):
    target.renewals.cancel()


async def accepted(routed, document):
    status, _ = await routed.send("POST", "/v1/targets", document)
    return status == 200


async def send_late(routed, document):
    """Give each control instance a renewal that was held up on its way."""
    timeout = aiohttp.ClientTimeout(total=1.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for url in routed.urls:
            try:
                async with session.post(f"{url}/v1/targets", json=document) as answer:
                    await answer.read()
            except (aiohttp.ClientError, TimeoutError, OSError):
                # It is down at the moment.
                continue


@then("target {number:d} gets none of {count:d} requests, and all are answered")
def gets_none(context, number, count):
    routed = context.routed

    async def ask():
        found = []
        for index in range(count):
            address = context.entries[index % len(context.entries)]
            status, _ = await routed.get(address, CALLERS_HOST, f"/stock/{index}")
            found.append(status)
        return found

    statuses = routed.run(ask())
    assert not routed.targets[number - 1].requests, routed.targets[0].requests
    assert set(statuses) == {200}, statuses


@given('an operator "{name}" with a key of its own')
def operator(context, name):
    context.operator = name
    words = ("operators", "set", name, "--grant", "*=read", "--new-token")
    done = command(context, *words, "--output", "json")
    context.key = json.loads(done.stdout)["token"]


def opens(context, instance) -> int:
    headers = {"Authorization": f"Bearer {context.key}"}
    url = f"{instance.admin_url}/v1/routing"
    return http_send("GET", url, headers=headers, timeout_s=ANSWER_S)[0]


@then("the key opens each control instance")
def opens_each(context):
    for instance in context.routed.deployment.control_instances:
        assert opens(context, instance) == 200, instance.id


@when('the key is withdrawn while "{down}" is down')
def withdrawn(context, down):
    context.down = context.routed.deployment[down]
    context.down.process.kill()
    words = ("operators", "remove", context.operator)
    wait_until(
        lambda: context.routed.command(*words).returncode == 0,
        READY_S,
        "the operator is removed",
    )


@when('"{down}" is started again {company}')
def started_again(context, down, company):
    if company == "while no other runs":
        for instance in context.routed.deployment.instances:
            if instance is not context.down:
                instance.process.kill()
    context.down.process.start()


@then("the key opens it at no moment of {seconds:g} s")
def opens_never(context, seconds):
    loop = asyncio.new_event_loop()
    context.stack.callback(loop.close)
    # From the start on, and for so long after its first answer.
    end, found = loop.time() + READY_S, set()
    while loop.time() < end:
        status = opens(context, context.down)
        if status and not found - {0}:
            end = loop.time() + seconds
        found.add(status)
    assert 200 not in found, found
    # It must have answered at all.
    assert found - {0}, found


@when("the routing items at version 1 are applied with a timeout of {timeout_ms:d} ms")
def applied(context, timeout_ms):
    items = routing_items(1)
    for route in items["routes"]:
        route["timeout_ms"] = timeout_ms
    command(context, "routing", "apply", context.routed.write("items.json", items))


@when(
    "a {kind} takes {seconds:g} s at its target, which is silent meanwhile, {besides}"
)
def takes_long(context, kind, seconds, besides):
    routed: RoutedDeployment = context.routed
    frozen = None
    if besides != "with nothing else":
        frozen = routed.deployment.control_instances[0]
    for target in routed.targets:
        target.requests.clear()
        target.delay_s = seconds
    path = "/stock/slow" if kind == "read" else "/orders/slow"
    method = "GET" if kind == "read" else "POST"

    async def send():
        sending = asyncio.create_task(long_request(context, method, path))
        await asyncio.sleep(0.3)
        for target in routed.targets:
            if target.requests:
                target.renewals.cancel()
        if frozen is not None:
            frozen.process.freeze()
            await asyncio.sleep(4.0)
            frozen.process.thaw()
        return await sending

    context.status = routed.run(send(), timeout_s=CALL_S)
    context.path = path


async def long_request(context, method, path):
    headers = {
        "Host": CALLERS_HOST,
        HEADER_REQUEST_ID: "r-slow",
        HEADER_DEADLINE_MS: "9000",
    }
    url = f"http://{context.entries[0]}{path}"
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, headers=headers) as answer,
    ):
        await answer.read()
        return answer.status


@then("it is answered {status:d}, and ran once at all targets together")
def ran_once(context, status):
    assert context.status == status, context.status
    ran = [t.name for t in context.routed.targets for p in t.requests if "slow" in p]
    assert len(ran) == 1, ran
