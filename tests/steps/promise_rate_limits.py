"""Steps for rate limits that targets name to the real programs."""

import json
import time
from random import Random

from behave import given, then, when

from testkit.limited_targets import LimitedTarget, SteadyCallers
from testkit.rate_limits import RateLimitHistory
from testkit.routed_deployment import SERVICE, RoutedDeployment, routing_items
from testkit.shape import REGIONS, separate_roles

#: Longest wait of a step for its own load, in seconds.
LOAD_TIMEOUT_S = 60.0


@given("a routed deployment of three control instances and six entries")
def deployment(context):
    plans = separate_roles(REGIONS, entries_per_region=2)
    context.routed = RoutedDeployment(context.stack, plans)
    context.limits = RateLimitHistory()


@given("{count:d} targets that can name a rate limit")
def targets(context, count):
    routed = context.routed
    for number in range(count):
        routed.run_target(
            LimitedTarget(number + 1, SERVICE, slots=8, limits=context.limits)
        )
    path = routed.write("items.json", routing_items(1))
    done = routed.command("routing", "apply", path)
    assert done.returncode == 0, done
    entries = routed.deployment.entry_instances
    address_by_entry = {e.id: routed.address(e) for e in entries}
    context.callers = SteadyCallers(
        address_by_entry=address_by_entry, per_s=60.0, random=Random(1)
    )

    async def all_serve():
        found = [
            (await routed.get(address, "shop.example", "/stock/1"))[0]
            for address in address_by_entry.values()
        ]
        return set(found) == {200}

    routed.run(routed.async_until(all_serve))


@when("callers send {per_s:g} requests a second over all entries, for {seconds:g} s")
def send(context, per_s, seconds):
    context.callers.per_s = per_s
    context.routed.run(context.callers.async_run(seconds), LOAD_TIMEOUT_S)


def set_limit(context, numbers, per_s):
    for number in numbers:
        target = context.routed.targets[number - 1]
        context.limits.set_limit(target.life, per_s, time.monotonic())


@when(
    "target {number:d} names a limit of {per_s:g} a second"
    " and callers go on for {seconds:g} s"
)
def names_limit(context, number, per_s, seconds):
    set_limit(context, [number], per_s)
    send(context, context.callers.per_s, seconds)


@when(
    "all targets name a limit of {per_s:g} a second and callers go on for {seconds:g} s"
)
def all_name_limit(context, per_s, seconds):
    set_limit(context, range(1, len(context.routed.targets) + 1), per_s)
    send(context, context.callers.per_s, seconds)


@when("target {number:d} names no limit and callers go on for {seconds:g} s")
def names_none(context, number, seconds):
    set_limit(context, [number], None)
    send(context, context.callers.per_s, seconds)


@then("no target got more than its limit allows")
def within_limits(context):
    found = list(
        context.limits.violations(
            context.callers.sent_by_id, lambda entry, since, until: False, 0.0
        )
    )
    assert found == [], found


@then('"mothshunt targets list" shows the limit of target {number:d} and no other')
def shows_limit(context, number):
    routed = context.routed
    wanted = routed.targets[number - 1]
    for url in routed.urls:
        words = ("--admin", url, "targets", "list", "--output", "json")
        done = routed.command(*words)
        assert done.returncode == 0, done
        found = {
            row["target"]: row["rate_limit_per_s"]
            for row in json.loads(done.stdout)["targets"]
            if row["rate_limit_per_s"] is not None
        }
        assert found == {wanted.name: context.limits.limit(wanted.life)}, found


def rate(context, targets, seconds):
    end = max(s.sent_at for s in context.callers.sent_by_id.values())
    arrivals = [
        arrival
        for target in targets
        for arrival in context.limits.arrivals_by_life[target.life]
        if end - seconds < arrival.at <= end
    ]
    return len(arrivals) / seconds


@then(
    "target {number:d} got at least {per_s:g} requests a second in the last"
    " {seconds:g} s"
)
def got_at_least(context, number, per_s, seconds):
    found = rate(context, [context.routed.targets[number - 1]], seconds)
    assert found >= per_s, found


@then(
    "all targets together got at least {per_s:g} requests a second in the last"
    " {seconds:g} s"
)
def together_got_at_least(context, per_s, seconds):
    found = rate(context, context.routed.targets, seconds)
    assert found >= per_s, found


@then("the callers got status {wanted} each time, within {limit_ms:d} ms")
def got_status(context, wanted, limit_ms):
    statuses = {int(status) for status in wanted.split(" or ")}
    sent = context.callers.sent_by_id.values()
    assert {s.status for s in sent} <= statuses, {s.status for s in sent}
    slowest_s = max(s.ended_at - s.sent_at for s in sent)
    assert slowest_s * 1000 <= limit_ms, slowest_s


@then("each refusal named a retry time")
def named_retry_time(context):
    refused = [s for s in context.callers.sent_by_id.values() if s.status == 503]
    assert refused
    assert len(context.callers.retry_after_s) == len(refused)
    assert min(context.callers.retry_after_s) > 0
