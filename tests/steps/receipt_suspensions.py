"""Steps for orders to suspended control processes."""

from behave import then, when

from tests.support import suspended_controls


@when("seed {seed:d} of orders to suspended control processes is played")
def played(context, seed):
    played = suspended_controls.play(context.stack, seed)
    context.errors, context.repeated_attempts = played


@then("every change of a zone was asked for, and the last order of each zone holds")
def every_change_asked_for(context):
    assert context.repeated_attempts > 0
    assert context.errors == []
