"""Steps for faults between the instances of a routed deployment, and of their disks."""

from behave import given, then, when

from testkit.ports import HOST as HOST_IP
from testkit.proxy import BOTH, Direction
from testkit.routed_deployment import RoutedDeployment
from testkit.shape import REGIONS, separate_roles, small

#: Entries dial control instances, so the proxies' servers are these.
DIRECTIONS = {
    "towards": (Direction.TO_CLIENT,),
    "from": (Direction.TO_SERVER,),
    "in both ways among": BOTH,
}
END_TIMEOUT_S = 30.0


@given("a routed deployment of three control instances and two entries, with proxies")
def with_proxies(context):
    context.routed = RoutedDeployment(
        context.stack, separate_roles(REGIONS[:2]), with_proxies=True
    )


@given(
    'a routed deployment of three instances with both roles, the disk of "{name}" full'
)
def with_full_disk(context, name):
    context.routed = RoutedDeployment(context.stack, small(), full_disk_of=name)


@when('nothing passes {way} "{name}" and the control instances')
def cut(context, way, name):
    deployment = context.routed.deployment
    controls = {instance.id for instance in deployment.control_instances}
    deployment.proxies.cut({name}, controls, DIRECTIONS[way])


@when("the streams of the routed deployment pass again")
def heal(context):
    context.routed.deployment.proxies.heal()


@when("all open streams of the routed deployment go silent for good")
def silence(context):
    assert context.routed.deployment.proxies.silence_open() > 0


def address(context, name):
    return f"{HOST_IP}:{context.routed.deployment[name].traffic_port}"


@then('the entry "{name}" serves "{host}" "{path}" at once')
def serves(context, name, host, path):
    routed = context.routed
    status, _ = routed.run(routed.get(address(context, name), host, path))
    assert status == 200, status


@then('the entry "{name}" soon answers "{host}" "{path}" with {status:d}')
def soon_answers(context, name, host, path, status):
    routed = context.routed

    async def answers():
        found, _ = await routed.get(address(context, name), host, path)
        return found == status

    routed.run(routed.async_until(answers))


@when('the routed process of "{name}" starts again with room on its disk')
def starts_again(context, name):
    context.routed.deployment[name].process.start()


@then('the routed process of "{name}" ended with exit code {code:d}')
def process_ended(context, name, code):
    process = context.routed.deployment[name].process
    found = process.wait(END_TIMEOUT_S)
    assert found == code, f"{found}: {process.log_tail()}"
