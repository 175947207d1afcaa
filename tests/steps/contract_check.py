"""Steps for the check and the diff of contracts."""

import json

from behave import given, then, when

from mothshunt.contract.check import check_contract
from mothshunt.contract.diff import diff_contracts
from tests.support import contracts

CONTRACT_BY_CUSTOMER = {"rackhaven": contracts.rackhaven, "sleman": contracts.sleman}


@given('the contract document of "{customer}"')
def document(context, customer):
    context.original = CONTRACT_BY_CUSTOMER[customer]()
    context.document = CONTRACT_BY_CUSTOMER[customer]()


@given("the contract text '{text}'")
def text_of_contract(context, text):
    context.contract_text = text.encode()


@given("the contract text ''")
def empty_text_of_contract(context):
    context.contract_text = b""


@given("a contract text of {count:d} opening brackets")
def nested_text(context, count):
    context.contract_text = b"[" * count


@when('the contract\'s "{path}" is {value}')
def set_value(context, path, value):
    *parents, last = path.strip("/").split("/")
    parent = context.document
    for part in parents:
        parent = parent[int(part)] if isinstance(parent, list) else parent[part]
    if not isinstance(parent, list):
        parent[last] = json.loads(value)
    elif int(last) == len(parent):
        parent.append(json.loads(value))
    else:
        parent[int(last)] = json.loads(value)


def faults(context):
    text = getattr(context, "contract_text", None)
    if text is None:
        text = json.dumps(context.document).encode()
    result = check_contract(text)
    if result.is_ok():
        return []
    return [f"{failure.code.number} {failure.path}" for failure in result.error]


@then("the contract has no fault")
def no_fault(context):
    assert faults(context) == [], faults(context)


@then("the contract has the faults {expected}")
def has_faults(context, expected):
    found = ", ".join(faults(context)).strip()
    assert found == expected.replace("none", "").strip(), found


@then("the contract's faults include {expected}")
def includes_fault(context, expected):
    assert expected in faults(context), faults(context)


@then("the contract's diff is:")
def diff_is(context):
    before, after = (
        check_contract(json.dumps(document).encode()).ok
        for document in (context.original, context.document)
    )
    found = [
        [line.path, line.kind.value, str(line.before), str(line.after)]
        for line in diff_contracts(before, after)
    ]
    assert found == [list(row) for row in context.table], found
