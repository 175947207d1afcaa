"""Steps for routing items through the command line."""

import tempfile
from pathlib import Path

from behave import given

from tests.steps.admin_routing import patch
from tests.steps.cli_commands import write
from tests.support.admin_deployment import AdminDeployment


@given("a command line whose deployment routes by hosts")
def routed_deployment(context):
    context.admin = AdminDeployment(context.stack, is_routed=True)
    context.admin_port = context.admin.start()
    context.addresses = [f"http://127.0.0.1:{context.admin_port}"]
    context.token = context.admin.token
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.folder = Path(folder)
    write(context, "routes.json", patch("service stock 1, route reads 1"))
    write(context, "unknown-service.json", patch("route nowhere 1"))
    workspace = {"name": "florist", "version": 1, "keys": ["secret-key"]}
    write(context, "workspaces.json", {"workspaces": [workspace]})
    (context.folder / "no-json.json").write_text("{")
