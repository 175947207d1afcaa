"""Steps for random sequences of events at holders and leaders."""

from behave import then, when
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.support.limits_machine import LimitsMachine


@when(
    "{sequences:d} random sequences of {events:d} events at holders and leaders are run"
)
def run_sequences(context, sequences, events):
    print("hypothesis: derandomized, the seed is derived from the test")
    context.settings = settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=sequences,
        stateful_step_count=events,
        suppress_health_check=list(HealthCheck),
    )


@then("no limit was exceeded after any event")
def no_limit_exceeded(context):
    run_state_machine_as_test(LimitsMachine, settings=context.settings)
