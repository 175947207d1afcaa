"""Steps for documents on the platform's wire."""

import copy
import json

from behave import then, when
from hypothesis import given as property_given
from hypothesis import settings
from hypothesis import strategies as st

from mothshunt.configuration.decode import ItemDecoder
from mothshunt.configuration.state import ReplicatedConfiguration
from mothshunt.forwarding.request import read_reported_load
from mothshunt.platform import documents, names
from mothshunt.platform.settings import read_settings
from mothshunt.platform.values import BadValueError
from mothshunt.routing.applier import routing_items
from mothshunt.routing.state import RoutingItems, merge
from mothshunt.util import wire

ZONES = {"z": "r"}
SETTINGS = {
    "node_name": "core-a-1",
    "role": "control",
    "machine_class": "core",
    "serves": ["control", "directory"],
    "ip": "10.1.0.17",
    "zone": "a",
    "region": "r",
    "zones": {"a": "r"},
    "listen": {"control": "10.1.0.17:8649", "directory": "10.1.0.17:8644"},
    "internal_ports": [7620, 7635],
    "seeds": ["10.1.0.17:8649", "10.2.0.44:8649", "10.3.0.40:8649"],
    "bootstrap": True,
    "data_dir": "/data/control",
    "heartbeat": "1500ms",
    "fault_tolerance": {"nodes": 2, "zones": 1, "regions": 1},
    "bounds": {"grace": "6s", "retry_budget_ratio": 0.2, "retry_slack": 56},
    "something_new": {"that": "nobody knows"},
}
PATCH = {
    "upsert": {
        "services": [
            {
                "name": "s",
                "health_path": "/healthz",
                "max_connections": 360,
                "protocol": "h1",
                "tls": False,
                "cold_start": "3s",
                "cold_per_s": 9.9,
                "version": "r7",
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
            "version": "r7",
        },
        "tenants": [
            {
                "name": "huka270",
                "api_keys": ["bbkf83fgfwrz56aw63is", "47qd"],
                "priority": 1,
                "per_s": 358,
                "burst": 358,
                "allowed_regions": [],
                "version": "r7",
                "note": "unknown fields are returned too",
            }
        ],
        "hosts": [
            {
                "host": "h.example",
                "paths": [
                    {
                        "name": "r-1",
                        "path_prefix": "/a/",
                        "kind": "safe",
                        "timeout": "2.5s",
                        "target_latency": "300ms",
                        "priority": 2,
                        "traffic_split": [{"service": "s", "weight": 90}],
                        "max_attempts": 2,
                        "sticky": True,
                        "allowed_regions": [],
                        "version": "r7",
                    }
                ],
            }
        ],
    },
    "remove": {"routes": []},
}


@when("the platform's target \"{name}\" reports '{report}'")
def target_reports(context, name, report):
    context.error = context.renewal = None
    report = report.replace("<400 nines>", "9" * 400)
    try:
        document = documents.read_json(report.encode())
        context.renewal = documents.read_renewal(name, document, ZONES)
    except BadValueError as error:
        context.error = error


@then(
    'the renewal is of "{name}" with incarnation {incarnation:d}, '
    "sequence {sequence:d} and state {state}"
)
def renewal_is(context, name, incarnation, sequence, state):
    held = context.renewal
    found = (held.target, held.incarnation, held.sequence, held.state.value)
    assert found == (name, incarnation, sequence, state), found


@then("the renewal is cold for {cold_ms:d} ms")
def renewal_is_cold(context, cold_ms):
    assert context.renewal.cold_ms == cold_ms


@then('the report is refused at "{place}"')
def report_refused(context, place):
    assert context.error is not None, context.renewal
    assert str(context.error).startswith(f"{place}: "), context.error


@when("the platform's operator sends a patch of all kinds of items")
def sends_patch(context):
    patch = documents.read_patch(documents.read_json(json.dumps(PATCH).encode()))
    context.items = merge(RoutingItems(), patch).ok.items


@then("the items that are read back are those that were sent")
def read_back(context):
    assert documents.items_document(context.items) == PATCH["upsert"]


@when("the platform's operator sends '{patch}'")
def sends_text(context, patch):
    context.error = context.patch = None
    patch = patch.replace("<256 letters>", "k" * 256).replace("<400 zeros>", "0" * 400)
    try:
        context.patch = documents.read_patch(documents.read_json(patch.encode()))
    except BadValueError as error:
        context.error = error


@when("the platform's operator sends a patch whose {member} is 400 digits long")
def sends_long_time(context, member):
    context.sent = copy.deepcopy(PATCH)
    item = context.sent
    *places, name = member.split("/")
    for place in places:
        item = item[int(place) if place.isdigit() else place]
    item[name] = "9" * 400 + "ms"
    sends_text(context, json.dumps(context.sent))


@then("the stored items that are read back are those that were sent")
def stored_read_back(context):
    state = ReplicatedConfiguration()
    state.apply(1, wire.unpack(wire.pack(context.patch)).ok)
    items = routing_items(state.store, ItemDecoder())
    assert documents.items_document(items) == context.sent["upsert"]


@then("the patch is refused")
def patch_refused(context):
    assert context.error is not None


@then("the patch is read and its merge is refused with code {code:d}")
def merge_refused(context, code):
    assert context.error is None, context.error
    outcome = merge(RoutingItems(), context.patch)
    assert outcome.is_error(), outcome
    assert outcome.error.code.number == code, outcome.error


@then("the patch is read and has {count:d} workspaces")
def patch_has_workspaces(context, count):
    assert context.error is None, context.error
    assert len(context.patch.workspaces) == count


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                [
                    "upsert",
                    "remove",
                    "hosts",
                    "paths",
                    "routes",
                    "tenants",
                    "api_keys",
                    "per_s",
                    "services",
                    "limits",
                    "host",
                    "name",
                    "version",
                    "state",
                    "address",
                    "sequence",
                    "born",
                ]
            ),
            inner,
            max_size=6,
        )
    ),
    max_leaves=20,
)


def problem_of(read):
    """Return why a document is refused; ``None`` when it is read."""
    try:
        read()
    except BadValueError as error:
        return str(error)
    return None


@then("{count:d} random documents are read or refused, each with a place and a problem")
def random_documents(context, count):
    @settings(max_examples=count, deadline=None, derandomize=True)
    @property_given(JSON.map(lambda d: json.dumps(d).encode()) | st.binary())
    def check(content):
        for read in (
            lambda: documents.read_patch(documents.read_json(content)),
            lambda: documents.read_renewal("t", documents.read_json(content), ZONES),
            lambda: read_settings(content),
        ):
            problem = problem_of(read)
            assert problem is None or ": " in problem

    check()


@when("the platform hands out settings of a core machine")
def hands_out(context):
    context.settings = read_settings(json.dumps(SETTINGS).encode()).settings


@then('the instance is "{name}" with peers at port {port:d}')
def instance_is(context, name, port):
    assert context.settings.instance.id == name
    assert context.settings.listen.peer.port == port


@then('it may found a log of {voters:d} voters with "{names}"')
def may_found(context, voters, names):
    routing = context.settings.routing
    assert routing.may_found
    assert routing.voters == voters
    assert ", ".join(peer.id for peer in context.settings.control) == names


@then(
    "a leave takes {leave:g} s and a retry budget of {ratio:g} and {slack:g} is shared"
)
def bounds_are(context, leave, ratio, slack):
    routing = context.settings.routing
    found = (routing.leave_s, routing.retry_ratio, routing.retry_slack)
    assert found == (leave, ratio, slack), found


@when('the platform\'s operator sends a route of kind "{kind}"')
def step_send_kind(context, kind):
    patch = copy.deepcopy(PATCH)
    patch["upsert"]["hosts"][0]["paths"][0]["kind"] = kind
    try:
        context.route = documents.read_patch(patch).routes[0].route
    except BadValueError:
        context.route = None


@then("the route is {result}")
def step_route_kind(context, result):
    route = context.route
    assert (route.kind.value if route else "refused") == result


@when('a target\'s response reports the load "{header}"')
def step_report_load(context, header):
    names_ = names.HEADERS
    context.load = read_reported_load({names_.load: header}, names_)


@then('the load is read as "{load}" with a slowdown of {slowdown:g}')
def step_load_read(context, load, slowdown):
    found = context.load
    assert (found.text() if found else "none") == load, found
    assert found is None or found.slowdown == slowdown, found
