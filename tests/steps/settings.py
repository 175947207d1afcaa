"""Steps for the settings of an instance."""

import json

from behave import given, then, when

from mothshunt.settings.config import Settings


@given("settings of a complete instance")
def complete(context):
    context.document = {
        "instance": {
            "id": "a1",
            "region": "north",
            "availability_zone": "north-a",
            "roles": ["entry", "control"],
        },
        "listen": {
            "traffic": {"host": "127.0.0.1", "port": 8001},
            "admin": {"host": "127.0.0.1", "port": 8002},
            "peer": {"host": "127.0.0.1", "port": 8003},
        },
        "control": [{"id": "a1", "host": "127.0.0.1", "port": 8003}],
        "deployment_key": "k" * 32,
        "data_folder": "data",
        "bootstrap_token_sha256": "0" * 64,
    }


@when("the port of the traffic address is {port:d}")
def traffic_port(context, port):
    context.document["listen"]["traffic"]["port"] = port


@when('an unknown key "{key}" is added')
def unknown_key(context, key):
    context.document[key] = 1


@when('the peer host is "{host}"')
def peer_host(context, host):
    context.document["listen"]["peer"]["host"] = host


@when("the data folder is missing")
def no_data_folder(context):
    del context.document["data_folder"]


@then('reading them fails with code {number:d} at "{path}"')
def fails_at(context, number, path):
    result = Settings.from_text(json.dumps(context.document).encode())
    assert result.is_error(), "the settings were accepted"
    found = {(failure.code.number, failure.path) for failure in result.error}
    assert (number, path) in found, found


@then("reading them succeeds")
def succeeds(context):
    result = Settings.from_text(json.dumps(context.document).encode())
    assert result.is_ok(), result
