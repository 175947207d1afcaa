"""Steps for what several instances hold of the targets."""

import json

from behave import given, then, when
from expression import Error, Ok

from mothshunt.cli.beliefs import side_by_side
from mothshunt.cli.model import CommandFailure, ExitCode

INCARNATION = 2


def answer_of(names, incarnation):
    rows = [
        {"target": x, "incarnation": incarnation, "state": "serving", "age_s": 0.5}
        for x in names.split(", ")
    ]
    return Ok({"targets": rows})


def answers(context):
    if not hasattr(context, "answer_by_address"):
        context.answer_by_address = {}
    return context.answer_by_address


@given('an instance at "{address}" that knows the targets "{names}"')
def knows(context, address, names):
    answers(context)[address] = answer_of(names, INCARNATION)


@given(
    'an instance at "{address}" that knows the targets "{names}" '
    "of an earlier incarnation"
)
def knows_earlier(context, address, names):
    answers(context)[address] = answer_of(names, INCARNATION - 1)


@given('an instance at "{address}" that does not answer')
def no_answer(context, address):
    failure = CommandFailure(exit_code=ExitCode.UNREACHABLE, text="no answer")
    answers(context)[address] = Error(failure)


@when("their beliefs are put side by side")
def put_side_by_side(context):
    context.document = side_by_side(answers(context))


def row_of(context, name):
    return next(x for x in context.document["targets"] if x["target"] == name)


@then('the row of "{name}" is the same on all of them')
def same(context, name):
    assert row_of(context, name)["is_same"], context.document


@then('the row of "{name}" differs: "{address}" holds "{belief}"')
def differs(context, name, address, belief):
    row = row_of(context, name)
    assert not row["is_same"], row
    assert row[address] == belief, row


@then('the instance at "{address}" is shown with "{text}"')
def shown_with(context, address, text):
    shown = {x["instance"]: x for x in context.document["instances"]}
    assert shown[address]["failure"] == text, shown


@then("its answer names {count:d} instances, one of them with a failure")
def names_instances(context, count):
    instances = json.loads(context.done.stdout)["instances"]
    assert len(instances) == count, instances
    assert sum("failure" in instance for instance in instances) == 1, instances
