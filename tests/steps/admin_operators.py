"""Steps for operators, voters and pages of the administration API."""

import json
import socket

from behave import given, then, when

from mothshunt.admin.catalog import repeated_codes
from mothshunt.consensus.model import Voter
from mothshunt.core.types import Role, TargetState
from mothshunt.discovery.model import LoadReport, Target
from mothshunt.membership.model import InstanceRecord
from tests.steps.admin_api import put_contract, send
from tests.support import contracts
from tests.support.contracts import parsed


def put_operator(context, name, change, grants, base=0, **fields):
    pairs = [part.strip().split("=") for part in grants.split(",")]
    body = {
        "grants": [{"customer": customer, "role": role} for customer, role in pairs],
        **fields,
    }
    query = {"change_id": change, "base_revision": base}
    path = f"/v1/operators/{name}"
    send(context, "PUT", path, query, body, context.admin.token)


@given('the operator "{name}" was made with the grants "{grants}"')
def operator_was_made(context, name, grants):
    put_operator(context, name, f"make-{name}", grants)
    assert context.status == 200, context.answer
    tokens = getattr(context, "token_by_operator", {})
    context.token_by_operator = {**tokens, name: context.answer["token"]}


@given('the target "{name}" of "{customer}" is known')
def target_is_known(context, name, customer):
    know_target(context, name, customer, 2)


@given('the target "{name}" of "{customer}" has {in_flight:d} requests in flight')
def know_target(context, name, customer, in_flight):
    report = LoadReport(in_flight=in_flight, connections=1, measured_at=0.0)
    know_target_with(context, name, customer, report)


@given('the target "{name}" of "{customer}" is known without a report')
def know_target_with(context, name, customer, report=None):
    contract = parsed(contracts.rackhaven())
    service = contract.services[0].service
    target = Target(
        id=name,
        incarnation=1,
        customer=customer,
        service=service,
        host="127.0.0.1",
        port=1,
        region="north",
        availability_zone="north-a",
        slots=3,
        state=TargetState.SERVING,
        first_seen_at=0.0,
        report=report,
    )
    context.admin.source.contract_by_customer[customer] = contract
    context.admin.targets.targets_by_service[customer, service] = (target,)


@given('the instance "{name}" is recorded')
def instance_is_recorded(context, name):
    record_instance(context, name, Role.CONTROL)


@given('the instance "{name}" is recorded as an entry only')
def entry_is_recorded(context, name):
    record_instance(context, name, Role.ENTRY)


def record_instance(context, name, role):
    context.admin.source.instance_by_id[name] = InstanceRecord(
        id=name,
        region="north",
        availability_zone="north-b",
        roles=(role,),
        traffic_host="",
        traffic_port=0,
        admin_host="127.0.0.1",
        admin_port=8002,
        peer_host="127.0.0.1",
        peer_port=8003,
        seat=0,
    )


@given("the voters are {count:d} instances")
def voters_are(context, count):
    context.admin.log.voters = tuple(
        Voter(id=f"v{number}", host="127.0.0.1", port=number)
        for number in range(1, count + 1)
    )


@when('{method} {path} is asked by operator "{name}"')
def asked_by_operator(context, method, path, name):
    send(context, method, path, token=context.token_by_operator[name])


@when('{method} {path} is asked with the old token of "{name}"')
def asked_with_old_token(context, method, path, name):
    send(context, method, path, token=context.old_token_by_operator[name])


@when(
    'the contract of "{customer}" is put as change "{change}" on base {base:d} '
    'by operator "{name}"'
)
def put_by_operator(context, customer, change, base, name):
    token = context.token_by_operator[name]
    put_contract(context, customer, change, base, token=token)


@when('the operator "{name}" is put as change "{change}" with the grants "{grants}"')
def operator_is_put(context, name, change, grants):
    put_operator(context, name, change, grants)


@when('the operator "{name}" is given a new token on base {base:d}')
def new_token(context, name, base):
    context.old_token_by_operator = dict(context.token_by_operator)
    put_operator(context, name, "renew", "rackhaven=change", base, new_token=True)
    context.token_by_operator[name] = context.answer["token"]


@when("a voter is posted as {text}")
def voter_is_posted(context, text):
    body = json.loads(text)
    send(context, "POST", "/v1/voters", body=body, token=context.admin.token)


@when('the bytes "{text}" are sent to the administration API')
def bytes_are_sent(context, text):
    data = text.replace("\\r\\n", "\r\n").encode()
    with socket.create_connection(("127.0.0.1", context.admin_port), 30) as stream:
        stream.sendall(data)
        parts = []
        while part := stream.recv(65536):
            parts.append(part)
    context.received = b"".join(parts).decode()


@then(
    "the administration API answers in bytes with status {status:d} and code {code:d}"
)
def answers_in_bytes(context, status, code):
    head, _, body = context.received.partition("\r\n\r\n")
    assert head.split(" ")[1] == str(status), context.received
    assert f"Mothshunt-Code: {code}" in head, context.received
    assert json.loads(body)["code"] == code, context.received


@then('the answer\'s "{field}" has {count:d} entries')
def has_entries(context, field, count):
    assert len(context.answer[field]) == count, context.answer


@then("the answer has a token")
def has_token(context):
    assert len(context.answer["token"]) >= 43, context.answer


@then('the answer does not hold "{text}"')
def does_not_hold(context, text):
    assert text not in json.dumps(context.answer), context.answer


@then('the token of "{name}" is not in the replicated configuration')
def token_not_kept(context, name):
    token = context.token_by_operator[name].encode()
    snapshot = repr(context.admin.state.snapshot()).encode()
    assert token not in snapshot


@then("every reference of the OpenAPI page leads somewhere")
def references_lead(context):
    schemas = context.answer["components"]["schemas"]
    references = list(_references(context.answer))
    assert references
    for reference in references:
        assert reference.removeprefix("#/components/schemas/") in schemas, reference


def _references(value):
    if isinstance(value, dict):
        if "$ref" in value:
            yield value["$ref"]
        for inner in value.values():
            yield from _references(inner)
    elif isinstance(value, list):
        for inner in value:
            yield from _references(inner)


@then('the OpenAPI page has "{method}" of "{path}" with the parameter "{name}"')
def openapi_parameter(context, method, path, name):
    parameters = context.answer["paths"][path][method]["parameters"]
    assert name in [parameter["name"] for parameter in parameters], parameters


@then('the answer lists the result code {number:d} "{name}"')
def lists_code(context, number, name):
    found = {(code["code"], code["name"]) for code in context.answer["codes"]}
    assert (number, name) in found, found


@then("no number and no name of a result code is given twice")
def codes_unique(context):
    assert repeated_codes() == (), repeated_codes()
