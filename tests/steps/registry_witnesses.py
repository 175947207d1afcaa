"""Steps for reports of entry instances that targets leave."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from mothshunt.registry.messages import LeavingSeen
from mothshunt.registry.witnesses import LeaveReportCoordinator


class Routing:
    """Stand-in for the routing coordinator that records retired targets."""

    def __init__(self):
        self.retired = []

    async def async_retire(self, target, incarnation, state):
        self.retired.append(target)


@given("a control instance that receives leave reports")
def control_instance(context):
    context.runner = context.stack.enter_context(asyncio.Runner())
    context.now = 0.0
    context.routing = Routing()
    clock = SimpleNamespace(monotonic=lambda: context.now)
    handlers = {}
    network = SimpleNamespace(on_message=handlers.__setitem__)
    context.coordinator = LeaveReportCoordinator(network, clock, context.routing)
    context.runner.run(context.coordinator.async_start())
    context.on_leaving_seen = handlers[LeavingSeen]


def report(context, entry, target, now, incarnation=1):
    async def deliver():
        context.now = now
        context.on_leaving_seen(
            entry, LeavingSeen(target=target, incarnation=incarnation)
        )
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    context.runner.run(deliver())


@when('entry "{entry}" reports at {now:g} s that "{target}" leaves')
def reports(context, entry, now, target):
    report(context, entry, target, now)


@when(
    'entry "{entry}" reports at {now:g} s that incarnation {incarnation:d} '
    'of "{target}" leaves'
)
def reports_incarnation(context, entry, now, incarnation, target):
    report(context, entry, target, now, incarnation)


@when("an entry instance reports {count:d} targets")
def report_many(context, count):
    for number in range(count):
        report(context, "e1", f"t{number}", 10.0 + number / 1000)


@then('"{target}" is not retired')
def not_retired(context, target):
    assert target not in context.routing.retired, context.routing.retired


@then('"{target}" is retired once')
def retired_once(context, target):
    assert context.routing.retired.count(target) == 1, context.routing.retired


@then("reports of at most {count:d} targets are stored")
def stored(context, count):
    by_key = context.coordinator.reports._reported_at_by_entry_by_key
    assert len(by_key) <= count, len(by_key)
