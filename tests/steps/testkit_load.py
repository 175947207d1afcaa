"""Steps for what a load counts."""

from behave import given, then, when

from testkit.load import LoadReport
from testkit.request import Outcome, Request, Result


@given("a {method} that ended as {outcome}, said to have run: {ran}")
def ended(context, method, outcome, ran):
    request = Request(request_id="r", service="s", method=method)
    said = "" if ran == "-" else ran
    result = Result(request=request, outcome=Outcome(outcome), ran=said)
    context.report = LoadReport(results=[result])


@when("targets ran it {runs:d} times")
def ran(context, runs):
    context.runs = {"r": runs}


@then("the load reports {count:d} violations")
def violations(context, count):
    found = context.report.violations(context.runs)
    assert len(found) == count, found
