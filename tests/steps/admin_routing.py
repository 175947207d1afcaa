"""Steps for routing items through the administration API."""

from behave import given, then, when

from mothshunt.configuration.model import Section
from mothshunt.core.types import LogIndex
from mothshunt.platform import documents
from tests.support.admin_deployment import AdminDeployment, ask
from tests.support.admin_fakes import ManualClock


@given("an administration API of a routed deployment")
def administration(context):
    context.admin = AdminDeployment(context.stack, ManualClock(), is_routed=True)
    context.admin_port = context.admin.start()


@when('{method} {path} is asked with the routing items "{items}"')
def asked_with_items(context, method, path, items):
    send(context, method, path, patch(items), context.admin.token)


@when("POST /v1/routing is asked with the text {text}")
def asked_with_text(context, text):
    send(context, "POST", "/v1/routing", text.encode(), context.admin.token)


@when('POST /v1/targets is asked with the renewal {sequence:d} of target "{name}"')
def asked_with_renewal(context, sequence, name):
    renewal = {
        "target": name,
        "incarnation": 1,
        "sequence": sequence,
        "service": "stock",
        "host": "127.0.0.1",
        "port": 8080,
        "region": "north",
        "availability_zone": "north-a",
    }
    send(context, "POST", "/v1/targets", renewal, None)


@then('target "{name}" is retired in the configuration')
def target_retired(context, name):
    items = context.admin.state.store.present_items(Section.RETIRED_TARGET)
    assert [item.key.name for item in items] == [name], items


@given('the platform has set a workspace with the key "{key}"')
def platform_set_workspace(context, key):
    tenant = {"name": "florist", "api_keys": [key], "version": "r1"}
    patch = documents.read_patch({"upsert": {"tenants": [tenant]}})
    context.admin.state.apply(LogIndex(1000), patch)
    items = context.admin.state.store.item_by_key.values()
    assert any(key.encode() in (item.value or b"") for item in items)


@then('the answer contains no "{text}"')
def answer_contains_no(context, text):
    assert text not in str(context.answer), context.answer


@then('the stored configuration contains no "{text}"')
def stored_contains_no(context, text):
    items = context.admin.state.store.item_by_key.values()
    assert not any(text.encode() in (item.value or b"") for item in items)


def send(context, method, path, body, token):
    context.status, context.headers, context.answer = ask(
        context.admin_port, method, path, None, body, token
    )


def patch(items):
    """Return the body that items written as ``[drop] KIND NAME VERSION`` ask for."""
    body = {}
    for words in (item.split() for item in items.split(", ")):
        *drop, kind, name, version = words
        item = {"name": name, "version": int(version)}
        if drop:
            body.setdefault(f"dropped_{kind}s", []).append(item)
            continue
        if kind == "route":
            service = "stock" if name == "reads" else name
            item |= {
                "host": "shop.example",
                "path_prefix": f"/{name}/",
                "kind": "idempotent",
                "timeout_ms": 1000,
                "target_latency_ms": 200,
                "services": [{"service": service}],
            }
        body.setdefault(f"{kind}s", []).append(item)
    return body
