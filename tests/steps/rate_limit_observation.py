"""Steps for what an entry instance records of the rate limits of targets."""

import logging

from absl import logging as absl_logging
from behave import given, then

from mothshunt.rate_limit import const


class RecordedLines(logging.Handler):
    """Handler that keeps the fields of log lines."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(getattr(record, "mothshunt", {}))


@given("the log lines are recorded")
def recorded(context):
    context.recorded = RecordedLines()
    logger = absl_logging.get_absl_logger()
    logger.addHandler(context.recorded)
    context.stack.callback(logger.removeHandler, context.recorded)


@then("the routed entry logged code {code:d}")
def logged_code(context, code):
    codes = [line.get("code") for line in context.recorded.lines]
    assert code in codes, context.recorded.lines


@then('the logged limits of "{name}" are "{wanted}"')
def logged_limits(context, name, wanted):
    lines = [
        line
        for line in context.recorded.lines
        if line.get("target") == name and "before_per_s" in line
    ]
    found = ", ".join(f"{line['before_per_s']} to {line['per_s']}" for line in lines)
    assert found == wanted, found


def per_s(context, name):
    known = context.world.registry.known_by_target[name].renewal
    return context.world.rate_limiter.limits.per_s(name, known.incarnation)


@then('the known rate limit of "{name}" is {wanted:g} a second')
def known_limit(context, name, wanted):
    assert per_s(context, name) == wanted, per_s(context, name)


@then('"{name}" has no known rate limit')
def no_limit(context, name):
    assert per_s(context, name) is None, per_s(context, name)


@then("{count:d} requests to limited targets are counted")
def counted(context, count):
    found = context.world.metrics.counter_value(const.METRIC_SENDS, service="s")
    assert found == count, found


@then('the log of limited targets names "{name}" with {count:d} requests')
def logged(context, name, count):
    reports = list(context.world.rate_limiter.reports())
    assert [(r.target, r.sent) for r in reports] == [(name, count)], reports
