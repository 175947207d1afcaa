"""Steps for the command line on a deployment of real processes."""

import json
from concurrent.futures import FIRST_COMPLETED, ThreadPoolExecutor, wait

from behave import given, then, when

from testkit.contracts import contract_document, contract_path
from testkit.environment import Environment
from testkit.process import wait_until
from testkit.shape import small_with_entry

OPERATORS = 10
CUSTOMER = "rackhaven"
CHANGE_ID = "drain-of-zone"
#: The instance that is asked may hear of a change of voters a little later.
SEEN_S = 10.0


@given("a deployment of three control instances and an entry for the command line")
def deployment(context):
    context.environment = context.stack.enter_context(Environment(small_with_entry()))
    context.environment.deployment.start()


@given("the contract was applied on the deployment")
def contract_applied(context):
    context.environment.apply_contract(CUSTOMER)


@when('"{command}" is run at the instance without the role control')
def run_at_entry(context, command):
    entry = context.environment.deployment["north-2"]
    command = f"{command} --admin {entry.admin_url}"
    context.done = context.environment.command(*command.split())


@when("ten operators apply different contracts on the present revision at once")
def race(context):
    environment = context.environment
    shown = environment.command("contract", "show", CUSTOMER, "--output", "json")
    revision = json.loads(shown.stdout)["revision"]
    files = [write_contract(environment, number) for number in range(OPERATORS)]
    commands = [
        ["contract", "apply", file, "--base-revision", str(revision)] for file in files
    ]
    run_all(context, commands)


def write_contract(environment, number):
    document = contract_document(CUSTOMER)
    document["lookup_lifetime_s"] = 1.0 + number
    path = environment.deployment.folder / f"contract-{number}.json"
    path.write_text(json.dumps(document))
    return str(path)


def run_all(context, commands, at_once=OPERATORS, after_first=lambda: None):
    def run(number):
        words = [*commands[number], "--change-id", f"of-operator-{number}"]
        return context.environment.command(*words)

    with ThreadPoolExecutor(at_once) as pool:
        running = [pool.submit(run, number) for number in range(OPERATORS)]
        wait(running, return_when=FIRST_COMPLETED)
        after_first()
        context.all_done = [future.result() for future in running]


@when("ten operators drain a target each and the leader is killed meanwhile")
def drains_with_leader_killed(context):
    commands = [["drain", "add", "target", f"t{n}"] for n in range(OPERATORS)]
    members = context.environment.command("members", "list", "--output", "json")
    leader = json.loads(members.stdout)["leader"]
    process = context.environment.deployment[leader].process
    # Some of the commands are under way then, and some come later.
    run_all(context, commands, at_once=3, after_first=process.kill)


@when("two control instances are killed")
def two_killed(context):
    context.killed = context.environment.deployment.control_instances[:2]
    for instance in context.killed:
        instance.process.kill()


@when("the killed control instances are started again")
def started_again(context):
    for instance in context.killed:
        instance.process.start()
    context.environment.deployment.wait_ready(context.killed)


@when("a drain is added with a change id and too little time")
def drain_in_little_time(context):
    add_drain(context, "--timeout", "2")


@when("the drain is added again with the same change id")
def drain_again(context):
    add_drain(context)


def add_drain(context, *options):
    words = ["drain", "add", "availability-zone", "north-b", "--base-revision", "0"]
    context.done = context.environment.command(
        *words, "--change-id", CHANGE_ID, *options
    )


@then("the command line ends with {code:d}")
def ends_with(context, code):
    done = context.done
    assert done.returncode == code, (done.returncode, done.stdout, done.stderr)


@then("the command line ends with {one:d} or {other:d}")
def ends_with_either(context, one, other):
    assert context.done.returncode in (one, other), context.done


@then("one of the ten commands ends with {code:d} and the others with {other:d}")
def one_ends_with(context, code, other):
    found = sorted(done.returncode for done in context.all_done)
    assert found == [code, *[other] * (OPERATORS - 1)], context.all_done


@then("the losers are told of the winner")
def told_of_winner(context):
    codes = [done.returncode for done in context.all_done]
    winner = f"change of-operator-{codes.index(0)} of bootstrap"
    for done in context.all_done:
        assert done.returncode == 0 or winner in done.stderr, (winner, done.stderr)


@then("each of the ten commands ends with {code:d}")
def each_ends_with(context, code):
    found = [done.returncode for done in context.all_done]
    assert found == [code] * OPERATORS, context.all_done


def audit_ids(context):
    audit = context.environment.command("audit", "--output", "json")
    return [record["change_id"] for record in json.loads(audit.stdout)["records"]]


@then("the audit trail holds one change of each command")
def one_change_each(context):
    found = sorted(id for id in audit_ids(context) if id.startswith("of-operator"))
    assert found == [f"of-operator-{n}" for n in range(OPERATORS)], found


@then("the audit trail holds one change with that id")
def one_change(context):
    found = audit_ids(context).count(CHANGE_ID)
    assert found == 1, found


@then("all of the ten drains are listed")
def all_listed(context):
    drains = context.environment.command("drain", "list", "--output", "json")
    found = {drain["name"] for drain in json.loads(drains.stdout)["drains"]}
    assert found == {f"t{n}" for n in range(OPERATORS)}, found


def run_members(context, *words):
    """Ask the instance that left first; it hears of no change of voters itself."""
    deployment = context.environment.deployment
    left = getattr(context, "returned", None)
    ordered = sorted(deployment.control_instances, key=lambda item: item.id != left)
    urls = [word for item in ordered for word in ("--admin", item.admin_url)]
    return context.environment.command("members", *words, *urls)


def members(context):
    return json.loads(run_members(context, "list", "--output", "json").stdout)


def voter_ids(context):
    return {voter["id"] for voter in members(context)["voters"]}


@when("a follower is removed from the voters and added again")
def removed_and_added(context):
    known = members(context)
    voters = [voter["id"] for voter in known["voters"]]
    context.returned = next(id for id in voters if id != known["leader"])
    removed = run_members(context, "remove", context.returned)
    assert removed.returncode == 0, removed
    wait_until(
        lambda: context.returned not in voter_ids(context), SEEN_S, "it is no voter"
    )
    context.done = run_members(context, "add", context.returned)


@then("all three control instances are voters")
def all_are_voters(context):
    wanted = {item.id for item in context.environment.deployment.control_instances}
    wait_until(lambda: voter_ids(context) == wanted, SEEN_S, "all are voters")


@when("one of the voters that never left is killed")
def other_killed(context):
    control = context.environment.deployment.control_instances
    other = next(item for item in control if item.id != context.returned)
    other.process.kill()


@when("the contract of rackhaven is applied with the command line")
def contract_is_applied(context):
    path = str(contract_path(CUSTOMER))
    context.done = context.environment.command("contract", "apply", path)
