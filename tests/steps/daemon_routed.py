"""Steps for the product's own program in a routed deployment."""

import asyncio
import json

import aiohttp
from behave import given, then, when

from mothshunt.admin import codes
from testkit.ports import HOST as HOST_IP
from testkit.routed_deployment import (
    CALLERS_HOST,
    RoutedDeployment,
    routing_items,
)
from testkit.shape import REGIONS, separate_roles, small


@given("a routed deployment of three instances with both roles")
def deployment(context):
    context.routed = RoutedDeployment(context.stack, small())


@given("a routed deployment of three control instances and two entries")
def separate_deployment(context):
    context.routed = RoutedDeployment(context.stack, separate_roles(REGIONS[:2]))


@given('{count:d} routed targets of service "{service}"')
def targets(context, count, service):
    for _ in range(count):
        context.routed.add_target(service)


@when("the routing items at version {version:d} are applied")
def applied(context, version):
    path = context.routed.write("items.json", routing_items(version))
    run(context, f"routing apply {path}")
    assert context.done.returncode == 0, context.done


@when('a route to the unknown service "{service}" is applied')
def unknown_service(context, service):
    path = context.routed.write("items.json", routing_items(1, service))
    run(context, f"routing apply {path}")


@when('"mothshunt {arguments}" is run on the routed deployment')
def command_run(context, arguments):
    run(context, arguments)
    assert context.done.returncode == 0, context.done


def run(context, arguments):
    context.done = context.routed.command(*arguments.split())


def document(context, arguments):
    run(context, f"{arguments} --output json")
    assert context.done.returncode == 0, context.done
    return json.loads(context.done.stdout)


@then('the routed command exits with {code:d} and complains "{text}"')
def command_fails(context, code, text):
    assert context.done.returncode == code, context.done
    assert text in context.done.stderr, context.done


@then('a caller is told of {count:d} entries, and each serves "{host}" "{path}"')
def entries_serve(context, count, host, path):
    routed = context.routed

    async def all_serve():
        status, answer = await routed.send("GET", "/v1/entries")
        context.entries = [entry["address"] for entry in answer.get("entries", ())]
        if status != 200 or len(context.entries) != count:
            return False
        statuses = [(await routed.get(a, host, path))[0] for a in context.entries]
        return set(statuses) == {200}

    routed.run(routed.async_until(all_serve))


@then("each entry instance tells callers of the same {count:d} entries")
def entries_tell(context, count):
    routed = context.routed
    instances = routed.deployment.instances
    only_entries = [i for i in instances if i.admin_url not in routed.urls]
    assert len(only_entries) == count, only_entries

    async def all_tell():
        told = [await admin_get(i.admin_url, "/v1/entries") for i in only_entries]
        addresses = [[e["address"] for e in a.get("entries", ())] for _, a in told]
        return all(sorted(found) == sorted(context.entries) for found in addresses)

    routed.run(routed.async_until(all_tell))
    context.only_entries = only_entries


async def admin_get(url, path):
    async with aiohttp.ClientSession() as session, session.get(url + path) as answer:
        return answer.status, await answer.json()


@then("an entry instance answers an operator that it is no control instance")
def no_control_instance(context):
    url = context.only_entries[0].admin_url
    status, answer = context.routed.run(admin_get(url, "/v1/routing"))
    assert status == codes.NOT_CONTROL.http_status, (status, answer)
    assert answer["code"] == codes.NOT_CONTROL.number, answer


@then('each entry soon answers "{host}" "{path}" with {status:d}')
def entries_answer(context, host, path, status):
    routed = context.routed

    async def all_answer():
        found = [(await routed.get(a, host, path))[0] for a in context.entries]
        return set(found) == {status}

    routed.run(routed.async_until(all_answer))


@given(
    '{count:d} routed targets of service "{service}" with {slots:d} slots '
    "that take {delay_s:g} s"
)
def slow_targets(context, count, service, slots, delay_s):
    for _ in range(count):
        context.routed.add_target(service, slots=slots, delay_s=delay_s)


@when("{count:d} orders are sent to one entry at once")
def orders_at_once(context, count):
    routed = context.routed

    async def send_all():
        sent = (
            routed.get(
                context.entries[0],
                CALLERS_HOST,
                f"/orders/{number}",
                request_id=f"order-{number}",
                method="POST",
            )
            for number in range(count)
        )
        return await asyncio.gather(*sent)

    context.answers = routed.run(send_all())


@when("target 1 hangs and order {number:d} is sent to it")
def target_hangs(context, number):
    context.routed.targets[0].delay_s = 30.0
    orders_at_once(context, 1)


@when(
    "another target has taken over the address of target 1 "
    "and orders are sent to the entry next to it"
)
def address_taken_over(context):
    routed = context.routed
    routed.take_over_address(routed.targets[0])
    near = routed.deployment["north-1"].traffic_port
    context.entries = [f"{HOST_IP}:{near}"]
    orders_at_once(context, 8)


@then("one of the orders was answered {status:d} with code {code:d}")
def order_answered(context, status, code):
    found = [
        number
        for number, (got, body) in enumerate(context.answers)
        if got == status and f'"code": {code}' in body
    ]
    assert found, context.answers
    context.order = f"order-{found[0]}"


@when("{seconds:g} s pass at the routed deployment")
def time_passes(context, seconds):
    context.routed.run(asyncio.sleep(seconds))


@then("each order was answered 200, or 503 with code 2803 where no retry was left")
def orders_answered(context):
    for status, body in context.answers:
        is_refused = status == 503 and '"code": 2803' in body
        assert status == 200 or is_refused, context.answers


def explain(context, request_id, *, may_be_left_out=False):
    files = [str(i.process.log_path) for i in context.routed.deployment.instances]
    run(context, f"explain {request_id} {' '.join(files)} --output json")
    if may_be_left_out and context.done.returncode == 3:
        return {"story": []}
    assert context.done.returncode == 0, context.done
    return json.loads(context.done.stdout)


@then('"mothshunt explain" tells of it: {texts}')
def explained(context, texts):
    told = explain(context, context.order)
    found = [row["text"] for row in told["story"]]
    assert found == [text.strip('"') for text in texts.split(", ")], told


@then('"mothshunt explain" of one of them tells of "{text}" with "{part}"')
def one_explained(context, text, part):
    for number in range(len(context.answers)):
        # Lines on what went well are left out under load.
        told = explain(context, f"order-{number}", may_be_left_out=True)
        rows = [row for row in told["story"] if row["text"] == text]
        if any(part in row["fields"] for row in rows):
            context.told = told
            return
    raise AssertionError(context.answers)


@then("it tells what was believed: {texts}")
def told_beliefs(context, texts):
    told = getattr(context, "told", None) or explain(context, context.order)
    found = {row["text"] for row in told["believed"] + told["targets"]}
    wanted = {text.strip('"') for text in texts.split(", ")}
    assert wanted <= found, told


@then('"mothshunt routing show" shows route "{name}" at version {version:d}')
def shows_route(context, name, version):
    shown = document(context, "routing show")
    found = {route["name"]: route["version"] for route in shown["routes"]}
    assert found[name] == version, shown


@then('"mothshunt targets list" shows {count:d} targets that serve')
def shows_targets(context, count):
    async def all_shown():
        shown = document(context, "targets list")["targets"]
        return [target["state"] for target in shown] == ["serving"] * count

    context.routed.run(context.routed.async_until(all_shown))


@then(
    '"mothshunt targets compare" shows {count:d} targets, '
    "the same on {instances:d} instances"
)
def compares_targets(context, count, instances):
    async def all_same():
        shown = document(context, "targets compare")
        known = [instance["known_targets"] for instance in shown["instances"]]
        same = [target["is_same"] for target in shown["targets"]]
        return known == [count] * instances and same == [True] * count

    context.routed.run(context.routed.async_until(all_same))


@then('"mothshunt status" shows the instances "{names}"')
def shows_instances(context, names):
    async def all_shown():
        shown = document(context, "status")["instances"]
        return ", ".join(instance["id"] for instance in shown) == names

    context.routed.run(context.routed.async_until(all_shown))


@then('"mothshunt zone list" names "{zone}"')
def shows_zone(context, zone):
    assert document(context, "zone list") == {"evacuated_zones": [zone]}


@then(
    "after {seconds:g} s the routed target {number:d} gets {amount} of "
    "{count:d} requests"
)
def target_gets(context, seconds, number, amount, count):
    routed = context.routed
    target = routed.targets[number - 1]

    async def ask():
        await asyncio.sleep(seconds)
        target.requests.clear()
        for index in range(count):
            address = context.entries[index % len(context.entries)]
            await routed.get(address, CALLERS_HOST, f"/stock/{index}")

    routed.run(ask())
    assert bool(target.requests) == (amount == "some"), target.requests


@then("all processes of the routed deployment stop with exit code 0")
def all_stop(context):
    codes = context.routed.deployment.stop()
    assert set(codes.values()) == {0}, codes


@when('the workspace "{name}" with the key "{key}" is applied')
def workspace_applied(context, name, key):
    workspace = {"name": name, "version": 1, "keys": [key]}
    path = context.routed.write("workspaces.json", {"workspaces": [workspace]})
    run(context, f"routing apply {path}")
    assert context.done.returncode == 0, context.done


@then(
    'within {seconds:g} s each entry answers "{path}" with the key "{key}" with'
    " {status:d}"
)
def entries_answer_key(context, seconds, path, key, status):
    routed = context.routed
    context.order = f"keyed-{status}"

    async def all_answer():
        found = {
            (
                await routed.get(
                    a, CALLERS_HOST, path, request_id=context.order, key=key
                )
            )[0]
            for a in context.entries
        }
        return found == {status}

    routed.run(routed.async_until(all_answer, seconds))


@then('"mothshunt explain" tells that each entry has "{text}"')
def explained_at_each(context, text):
    story = explain(context, context.order)["story"]
    assert {row["text"] for row in story} == {text}, story
    assert len({row["instance"] for row in story}) == len(context.entries), story


@then('"mothshunt routing workspaces" shows "{name}" and no "{key}"')
def workspaces_shown(context, name, key):
    (shown,) = document(context, "routing workspaces")["workspaces"]
    assert shown["name"] == name, shown
    assert len(shown["key_digests"]) == 1, shown
    assert key not in context.done.stdout, context.done
