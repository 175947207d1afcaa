"""Steps for operators and their roles."""

from behave import given, then

from mothshunt.access.model import AccessRole, Grant, Operator
from mothshunt.access.state import authorize, check_replacement
from mothshunt.access.token import new_token, token_sha256


def parsed_grants(text):
    pairs = [part.strip().split(":") for part in text.split(",") if part.strip()]
    return tuple(
        Grant(customer=customer, role=AccessRole(role)) for customer, role in pairs
    )


def operator(name, token, grants):
    return Operator(
        id=name, token_sha256=token_sha256(token), grants=parsed_grants(grants)
    )


@given("the operators:")
def operators(context):
    context.bootstrap = token_sha256("bootstrap")
    context.operators = [
        operator(row["id"], row["token"], row["grants"]) for row in context.table
    ]


@given("the settings name no bootstrap token")
def no_bootstrap(context):
    context.bootstrap = None


@given('the operator "{name}" has the grants "{grants}"')
def has_grants(context, name, grants):
    others = [known for known in context.operators if known.id != name]
    context.operators = [*others, operator(name, "other", grants)]


@then('"{token}" as {role} of "{customer}" is {verdict}')
def verdict_is(context, token, role, customer, verdict):
    result = authorize(
        context.operators,
        context.bootstrap,
        token,
        AccessRole(role),
        None if customer == "*" else customer,
    )
    found = result.ok if result.is_ok() else str(result.error.code.number)
    assert found == verdict, found


@then('"" as {role} of "{customer}" is {verdict}')
def verdict_without_token(context, role, customer, verdict):
    verdict_is(context, "", role, customer, verdict)


@then("{count:d} new tokens all differ and hold at least {length:d} characters")
def tokens_differ(context, count, length):
    tokens = {new_token() for _ in range(count)}
    assert len(tokens) == count
    assert all(len(token) >= length for token in tokens)


@then('replacing "{name}" by grants "{grants}" is {verdict}')
def replacement_is(context, name, grants, verdict):
    replacement = None if grants == "removed" else operator(name, "new", grants)
    failure = check_replacement(context.operators, name, replacement)
    found = "allowed" if failure is None else str(failure.code.number)
    assert found == verdict, found
