"""Steps for requests that are sent again under their key."""

import math

from behave import given, then, when

from mothshunt.ledger.codes import IN_PROGRESS, OUTCOME_UNKNOWN
from testkit.repeats import send_until_kept
from testkit.request import Outcome, Request, Result

REQUEST = Request(request_id="order-1", service="site-access", key="order-1")
RETRY_AFTER_S = 1.0


class Ledger:
    """Answer a key that is sent again, on a clock of its own."""

    def __init__(self, kept_after_s, code):
        self.kept_after_s = kept_after_s
        self.code = code
        self.time = 0.0
        self.tries = 0

    def send(self):
        self.tries += 1
        if self.time >= self.kept_after_s:
            return Result(request=REQUEST, outcome=Outcome.WHOLE)
        return Result(
            request=REQUEST,
            outcome=Outcome.REFUSED,
            code_name=self.code.name,
            retry_after_s=RETRY_AFTER_S if self.code is IN_PROGRESS else None,
        )

    def sleep(self, seconds):
        self.time += seconds


@given("a key whose answer is kept {seconds:g} s after its first caller has it")
def kept_after(context, seconds):
    context.ledger = Ledger(seconds, IN_PROGRESS)


@given("a key whose answer is never kept")
def never_kept(context):
    context.ledger = Ledger(math.inf, IN_PROGRESS)


@given("a key whose outcome is unknown")
def unknown(context):
    context.ledger = Ledger(math.inf, OUTCOME_UNKNOWN)


@when("the key is sent again until its answer is kept")
def send_again(context):
    ledger = context.ledger
    context.repeat = send_until_kept(ledger.send, lambda: ledger.time, ledger.sleep)


@then("the repeat got the first answer after {seconds:g} s and {tries:d} tries")
def got_answer(context, seconds, tries):
    assert context.repeat.outcome is Outcome.WHOLE, context.repeat
    assert (context.ledger.time, context.ledger.tries) == (seconds, tries)


@then('the repeat got "{name}" after {seconds:g} s and {tries:d} tries')
def got_refusal(context, name, seconds, tries):
    assert context.repeat.code_name == name, context.repeat
    assert (context.ledger.time, context.ledger.tries) == (seconds, tries)
