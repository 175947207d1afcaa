"""Steps for random walks over holders and leaders."""

from behave import then, when
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.support.limits_machine import LimitsMachine


@when("{walks:d} random walks of {steps:d} steps over holders and leaders are made")
def make_walks(context, walks, steps):
    print("hypothesis: derandomized, the seed is the test itself")
    context.settings = settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=walks,
        stateful_step_count=steps,
        suppress_health_check=list(HealthCheck),
    )


@then("no limit was exceeded after any step")
def no_limit_exceeded(context):
    run_state_machine_as_test(LimitsMachine, settings=context.settings)
