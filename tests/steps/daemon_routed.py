"""Steps for the product's own program in a routed deployment."""

import asyncio
import json

from behave import given, then, when

from testkit.shape import InstancePlan, small
from tests.support.routed_deployment import REGIONS, RoutedDeployment

HOST = "shop.example"


@given("a routed deployment of three instances with both roles")
def deployment(context):
    context.routed = RoutedDeployment(context.stack, small())


@given("a routed deployment of three control instances and two entries")
def separate_deployment(context):
    plans = [
        InstancePlan(
            id=f"{region}-{role}",
            region=region,
            availability_zone=f"{region}-a",
            roles=(role,),
        )
        for role, regions in (("control", REGIONS), ("entry", REGIONS[:2]))
        for region in regions
    ]
    context.routed = RoutedDeployment(context.stack, tuple(plans))


@given('{count:d} routed targets of service "{service}"')
def targets(context, count, service):
    for _ in range(count):
        context.routed.add_target(service)


def items(version, service="stock"):
    return {
        "services": [{"name": "stock", "version": version}],
        "routes": [
            {
                "name": "reads",
                "version": version,
                "host": HOST,
                "path_prefix": "/stock/",
                "kind": "idempotent",
                "timeout_ms": 2000,
                "target_latency_ms": 300,
                "services": [{"service": service}],
                "max_attempts": 2,
            }
        ],
    }


@when("the routing items at version {version:d} are applied")
def applied(context, version):
    path = context.routed.write("items.json", items(version))
    run(context, f"routing apply {path}")
    assert context.done.returncode == 0, context.done


@when('a route to the unknown service "{service}" is applied')
def unknown_service(context, service):
    path = context.routed.write("items.json", items(1, service))
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


@then('each entry soon answers "{host}" "{path}" with {status:d}')
def entries_answer(context, host, path, status):
    routed = context.routed

    async def all_answer():
        found = [(await routed.get(a, host, path))[0] for a in context.entries]
        return set(found) == {status}

    routed.run(routed.async_until(all_answer))


@then('"mothshunt routing show" shows route "{name}" at version {version:d}')
def shows_route(context, name, version):
    shown = document(context, "routing show")
    found = {route["name"]: route["version"] for route in shown["routes"]}
    assert found == {name: version}, shown


@then('"mothshunt targets list" shows {count:d} targets that serve')
def shows_targets(context, count):
    async def all_shown():
        shown = document(context, "targets list")["targets"]
        return [target["state"] for target in shown] == ["serving"] * count

    context.routed.run(context.routed.async_until(all_shown))


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
            await routed.get(address, HOST, f"/stock/{index}")

    routed.run(ask())
    assert bool(target.requests) == (amount == "some"), target.requests


@then("all processes of the routed deployment stop with exit code 0")
def all_stop(context):
    codes = context.routed.deployment.stop()
    assert set(codes.values()) == {0}, codes
