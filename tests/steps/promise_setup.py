"""Steps that set up real processes, shared by the features of promises."""

from dataclasses import replace

from behave import given, then, when

from testkit.environment import Environment
from testkit.ports import HOST
from testkit.profiles import PROFILES_BY_CUSTOMER, full_targets, thin_targets
from testkit.shape import REGIONS, small, small_with_entry, today
from testkit.target.config import Endpoint

PLANS_BY_TEXT = {
    "a small deployment": small,
    "a small deployment with a further entry": small_with_entry,
    "today's deployment": today,
}
#: Time in which an instance must be ready again, in seconds.
READY_S = 60
#: Time in which an instance must have ended gracefully, in seconds.
END_S = 90


def start(context, text, *, with_proxies):
    environment = Environment(PLANS_BY_TEXT[text](), with_proxies=with_proxies)
    context.env = context.stack.enter_context(environment)
    context.env.deployment.start(READY_S)


def instance(context, text):
    """Return the instance that a step names, such as ``the leader`` or ``north-1``."""
    if text == "the leader":
        context.leader = context.env.deployment[context.env.leader()]
        return context.leader
    if text == "the old leader":
        return context.leader
    if text == "a follower":
        leader = context.env.leader()
        control = context.env.deployment.control_instances
        return next(item for item in control if item.id != leader)
    if text == "another follower":
        leader = context.env.leader()
        control = context.env.deployment.control_instances
        named = getattr(context, "named", set())
        return next(i for i in control if i.id != leader and i.id not in named)
    return context.env.deployment[text]


@given('a deployment "{shape}" is running')
def running(context, shape):
    start(context, shape, with_proxies=False)


@given('a deployment "{shape}" is running behind proxies')
def running_behind_proxies(context, shape):
    start(context, shape, with_proxies=True)


@given("the contract of {customer} is in force")
def contract_in_force(context, customer):
    context.env.apply_contract(customer)
    context.customer = customer


@given("the contract of {customer} is in force with {fields}")
def contract_with(context, customer, fields):
    settings = dict(item.split("=") for item in fields.split(", "))
    reply = context.env.put_contract(customer, **contract_fields(customer, settings))
    assert reply.is_accepted, reply
    context.env.wait_in_force(reply.revision)
    context.customer = customer


def contract_fields(customer, settings):
    """Return contract fields for settings such as ``capacity`` and ``cap``."""
    fields = {}
    capacity = int(settings.get("capacity", 56))
    fields["regions"] = [{"region": r, "capacity": capacity} for r in REGIONS]
    cap = int(settings.get("cap", 20))
    fields["shift"] = {"cap": cap, "step": max(1, cap // 3), "step_interval_s": 0.5}
    fields["links"] = [
        {"from_region": a, "to_region": b, "capacity": int(settings.get("link", 14))}
        for a in REGIONS
        for b in REGIONS
        if a != b
    ]
    return fields


@given("one target of each service of {customer} in each region")
def thin(context, customer):
    targets = [t for p in PROFILES_BY_CUSTOMER[customer] for t in thin_targets(p)]
    add_by_region(context, customer, targets)


@given("today's targets of {service} of {customer}")
def full(context, service, customer):
    profiles = PROFILES_BY_CUSTOMER[customer]
    targets = [t for p in profiles if p.service == service for t in full_targets(p)]
    add_by_region(context, customer, targets)


@given("today's warm targets of {service} of {customer}")
def full_warm(context, service, customer):
    profiles = PROFILES_BY_CUSTOMER[customer]
    targets = [t for p in profiles if p.service == service for t in full_targets(p)]
    warm = [replace(target, cold_requests=0) for target in targets]
    add_by_region(context, customer, warm)


@given("one target of {service} of {customer} in each region")
def thin_of_service(context, service, customer):
    profiles = PROFILES_BY_CUSTOMER[customer]
    targets = [t for p in profiles if p.service == service for t in thin_targets(p)]
    add_by_region(context, customer, targets)


@given("a single target of {service} of {customer}, in {region}")
def single_target(context, service, customer, region):
    profiles = PROFILES_BY_CUSTOMER[customer]
    targets = [t for p in profiles if p.service == service for t in thin_targets(p)]
    add_by_region(context, customer, [t for t in targets if t.region == region])
    context.target = targets[REGIONS.index(region)].target


def add_by_region(context, customer, targets):
    """Start a process for the targets of each region and wait until they serve."""
    for region in REGIONS:
        part = [target for target in targets if target.region == region]
        if part:
            context.env.fleet.add(f"{customer}-{region}-{part[0].service}", part)
    context.env.wait_targets_known(targets)


def entry_endpoint(context, instance_id):
    return Endpoint(host=HOST, port=context.env.deployment[instance_id].traffic_port)


@when('instance "{name}" is killed')
def killed(context, name):
    chosen = instance(context, name)
    context.named = getattr(context, "named", set()) | {chosen.id}
    context.killed = chosen
    chosen.process.kill()


@when("the killed instance is started again")
def started_again(context):
    context.killed.process.start()


@when("the killed instance is started again with an empty disk")
def started_empty(context):
    context.killed.wipe_disk()
    context.killed.process.start()


@then("the killed instance is ready again")
@when("the killed instance is ready again")
def ready_again(context):
    context.env.deployment.wait_ready([context.killed], READY_S)


@when('instance "{name}" is frozen')
def frozen(context, name):
    context.frozen = instance(context, name)
    context.frozen.process.freeze()
    # A frozen process does not end by SIGTERM; the scenario's end must wake it.
    context.stack.callback(context.frozen.process.thaw)


@when("the frozen instance wakes")
def wakes(context):
    context.frozen.process.thaw()


@when('instance "{name}" is cut off silently')
def cut_off(context, name):
    context.cut = instance(context, name)
    context.env.deployment.cut([context.cut.id])


@when("the cut is healed")
def healed(context):
    context.env.deployment.proxies.heal()


@when("all open streams go silent for good")
def streams_silent(context):
    assert context.env.deployment.proxies.silence_open() > 0


@then("no process has ended")
def none_ended(context):
    ended = [
        f"{item.id}\n{item.process.log_tail()}"
        for item in context.env.deployment.instances
        if not item.process.is_running()
    ]
    assert not ended, "\n".join(ended)
