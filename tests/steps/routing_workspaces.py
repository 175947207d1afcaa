"""Steps for the merge of workspaces."""

from behave import given, then, when

from mothshunt.configuration.assemble import ConfigurationAssembler
from mothshunt.configuration.holder import ConfigurationHolder
from mothshunt.configuration.publisher import ConfigurationPublisher
from mothshunt.configuration.state import ReplicatedConfiguration
from mothshunt.core.types import LogIndex
from mothshunt.routing.applier import routing_items
from mothshunt.routing.messages import PatchRouting
from mothshunt.routing.model import Workspace, WorkspaceItem
from mothshunt.routing.state import RoutingItems, merge
from mothshunt.routing.workspaces import (
    key_digest,
    key_digests,
    workspace_by_key_digest,
)
from tests.support.recording_network import ManualClock, RecordingNetwork


def item(name, version, keys, *, per_s=10.0, burst=5.0) -> WorkspaceItem:
    workspace = Workspace(
        name=name,
        key_digests=key_digests(keys),
        requests_per_s=per_s,
        burst=burst,
        priority=None,
        home_regions=(),
        document=f"document with {keys}",
    )
    return WorkspaceItem(name=name, version=version, workspace=workspace)


def split(keys):
    return [key.strip() for key in keys.split(",") if key.strip()]


def patch(*items) -> PatchRouting:
    return PatchRouting(operator="op", workspaces=items)


def send(context, *items):
    context.outcome = merge(context.items, patch(*items))
    if context.outcome.is_ok():
        context.items = context.outcome.ok.items


@given("no routing items")
def no_items(context):
    context.items = RoutingItems()


@when('workspace "{name}" with keys "{keys}" is set at version {version:d}')
def workspace_is_set(context, name, keys, version):
    send(context, item(name, version, split(keys)))
    assert context.outcome.is_ok(), context.outcome


@when('workspace "{name}" with keys "" is set at version {version:d}')
def workspace_without_keys(context, name, version):
    send(context, item(name, version, []))


@when('workspace "{name}" is dropped at version {version:d}')
def workspace_is_dropped(context, name, version):
    send(context, WorkspaceItem(name=name, version=version, workspace=None))


INVALID = {
    "a stored key of another workspace": item("b", 9, ["one"]),
    "the key of the valid one": item("b", 9, ["valid"]),
    "a negative quota": item("b", 9, ["two"], per_s=-1.0),
    "a negative burst": item("b", 9, ["two"], burst=-1.0),
    "an infinite quota": item("b", 9, ["two"], per_s=float("inf")),
    "a line break in its name": item("b\nc", 9, ["two"]),
}


@when("a patch of a valid workspace and one with {fault} is sent")
def invalid_patch(context, fault):
    send(context, item("good", 9, ["valid"]), INVALID[fault])


@when(
    'one patch moves the key "{key}" from "{one}" to "{other}" at version {version:d}'
)
def key_moves(context, key, one, other, version):
    keys = {"two"} - {key}
    send(context, item(other, version, [key]), item(one, version, keys))
    assert context.outcome.is_ok(), context.outcome


@then("the patch was refused with code {code:d} and contains no key")
def refused(context, code):
    assert context.outcome.is_error(), context.outcome
    assert context.outcome.error.code.number == code, context.outcome.error
    detail = context.outcome.error.detail
    assert not any(key in detail for key in ("one", "two", "valid")), detail


def owner(index, key):
    workspace = index.get(key_digest(key))
    return None if workspace is None else workspace.name


@then('the key "{key}" belongs to no workspace')
def belongs_to_none(context, key):
    assert owner(workspace_by_key_digest(context.items.workspaces()), key) is None


@then('the key "{key}" belongs to workspace "{name}"')
def belongs_to(context, key, name):
    assert owner(workspace_by_key_digest(context.items.workspaces()), key) == name


@then('workspace "{name}" exists')
def workspace_exists(context, name):
    assert context.items.workspace_by_name[name].workspace is not None


@when('the replicated configuration applies workspace "{name}" with keys "{keys}"')
def applies(context, name, keys):
    context.state = ReplicatedConfiguration()
    context.publisher = ConfigurationPublisher(
        context.state, None, ConfigurationHolder(), RecordingNetwork(), ManualClock()
    )
    context.keys = split(keys)
    context.state.apply(LogIndex(1), patch(item(name, 1, context.keys)))
    context.publisher._on_applied(LogIndex(1))


@then("the configuration that is delivered contains no key")
def delivered_has_no_key(context):
    (delivered,) = context.publisher.delivered.item_by_key.values()
    assert not any(f"'{key}'".encode() in delivered.value for key in context.keys)


@then('the key "{key}" belongs to workspace "{name}" in the delivered configuration')
def belongs_to_in_delivered(context, key, name):
    routing = ConfigurationAssembler().assemble(context.publisher.delivered).routing
    assert owner(routing.workspace_by_key_digest, key) == name
    assert name in routing.workspace_by_name


@then('the operator\'s document of workspace "{name}" contains the keys')
def document_has_keys(context, name):
    items = routing_items(context.state.store, context.state.routing.decoder)
    document = items.workspace_by_name[name].workspace.document
    assert document == f"document with {context.keys}", document
