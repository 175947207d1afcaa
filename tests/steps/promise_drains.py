"""Steps for drains and graceful stops."""

import time

from behave import then, when

from testkit.plain_http import http_get
from testkit.process import wait_until
from testkit.request import Outcome, Request
from testkit.shape import REGIONS
from tests.steps.promise_limits import processes_in
from tests.steps.promise_requests import BOUND_S, answered
from tests.steps.promise_setup import END_S, instance

#: Seconds after which a leaving target may get no new work, as the users ask.
NO_NEW_WORK_S = 2.0
#: Clocks of one machine are one clock; this is for a record being written.
RECORD_S = 0.1
#: Time of a long answer, below the time-out of its service in the contract.
LONG_MS = 1600
FIELD_BY_KIND = {
    "target": "target",
    "availability_zone": "availability_zone",
    "region": "region",
}


@when('the {kind} "{name}" is drained')
def drained(context, kind, name):
    context.drained = [
        target.target
        for target in context.env.fleet.targets
        if getattr(target, FIELD_BY_KIND[kind]) == name
    ]
    reply = context.env.operator().put_drain(kind, name)
    assert reply.is_accepted, reply
    context.drained_at = time.time()


@then("the drained targets get no new work after 2 seconds")
def no_new_work(context):
    pause_s = context.drained_at + NO_NEW_WORK_S + 2 - time.time()
    time.sleep(max(0.0, pause_s))
    assert not late_starts(context, context.drained, context.drained_at)


def late_starts(context, targets, since_unix):
    """Return the delays of runs that began too late after a leave, in seconds."""
    return [
        run["started_at_unix"] - since_unix
        for target in targets
        for run in context.env.fleet.runs(target)
        if run["started_at_unix"] > since_unix + NO_NEW_WORK_S + RECORD_S
    ]


@when("the targets in {region} are told to stop")
def targets_stop(context, region):
    context.stopped = processes_in(context, region)
    context.stopped_at = time.time()
    for process in context.stopped:
        process.process.terminate()
        process.process.terminate()


@then("the stopped targets got no new work after 2 seconds and ended with 0")
def stopped_targets(context):
    codes = [process.process.wait(END_S) for process in context.stopped]
    assert set(codes) == {0}, codes
    names = [t.target for process in context.stopped for t in process.targets]
    assert not late_starts(context, names, context.stopped_at)


@then("no request was cut off")
def none_cut_off(context):
    bad = [
        result
        for result in context.report.results
        if result.outcome in (Outcome.BROKEN, Outcome.TIMED_OUT, Outcome.TARGET_ERROR)
    ]
    refused = context.report.refused_by_code()
    print(context.report.count_by_outcome(), refused)
    assert not bad, bad[:5]
    unknown = [r for r in context.report.results if r.ran == "unknown"]
    assert not unknown, unknown[:5]


@then("no request was refused a connection")
def none_refused(context):
    assert context.report.count(Outcome.NOT_SENT) == 0


@when("{count:d} long answers are under way")
def long_answers(context, count):
    context.long = []
    for number in range(count):
        request = Request(
            request_id=f"long-{number}",
            service="cabinet-status",
            headers={"X-Test-Stream-Ms": str(LONG_MS), "X-Test-Answer-Bytes": "200000"},
        )
        caller = context.callers[number % len(context.callers)]
        context.long.append(context.env.begin(caller, request))
    answered(context, 20)


@when("all instances are told to stop, twice")
def all_stop(context):
    for _ in range(2):
        for item in context.env.deployment.instances:
            item.process.terminate()
        time.sleep(0.2)


@then("all instances end with 0")
def all_end(context):
    codes = {i.id: i.process.wait(END_S) for i in context.env.deployment.instances}
    assert set(codes.values()) == {0}, codes


@then("each long answer that was begun is whole, {count:d} at least")
def long_whole(context, count):
    ends = [future.result(BOUND_S) for future in context.long]
    begun = [end for end in ends if end.ran != "no"]
    broken = [end for end in begun if end.outcome is not Outcome.WHOLE]
    assert not broken, broken
    assert len(begun) >= count, ends


@when("all targets are told to stop")
def all_targets_stop(context):
    context.stopped = [p for region in REGIONS for p in processes_in(context, region)]
    for process in context.stopped:
        process.process.terminate()


@then("all targets end with 0")
def all_targets_end(context):
    codes = [process.process.wait(END_S) for process in context.stopped]
    assert set(codes) == {0}, codes


@when('instance "{name}" is told to stop and ends with 0')
def stops(context, name):
    process = instance(context, name).process
    process.terminate()
    assert process.wait(END_S) == 0


@when('instance "{name}" is killed for good')
def killed_for_good(context, name):
    instance(context, name).process.kill()


@when("the killed instance is started again and told to stop once it listens")
def start_and_stop(context):
    context.killed.process.start()
    url = f"{context.killed.admin_url}/healthz"
    wait_until(lambda: http_get(url)[0] == 200, BOUND_S, "it listens", 0.01)
    context.killed.process.terminate()


@then("the killed instance ends with 0")
def killed_ends(context):
    assert context.killed.process.wait(END_S) == 0, context.killed.process.log_tail()
