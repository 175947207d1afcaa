"""Page of the keys of settings and contracts."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from mothshunt.admin import routing_model
from mothshunt.admin.field_texts import field_texts
from mothshunt.admin.routing_model import PatchBody
from mothshunt.contract import model as contract_model
from mothshunt.contract.model import Contract
from mothshunt.settings import config as settings_config
from mothshunt.settings.config import Settings
from mothshunt.util import schema
from tools.markdown import table_row
from tools.schema_texts import bounds_text, default_text, type_text, unit_text

HEAD = """\
# Configuration

Made from the code by `script/generate_docs`; don't edit it by hand.

`N` stands for the position in a list, from 0. Every key that is not listed here
is refused. A key that has no default must be there. An identifier is made of
letters, digits, `.`, `_` and `-`, and begins with a letter or digit.
"""

SETTINGS_HEAD = """\
## Settings of an instance

The JSON file that `mothshuntd --config FILE` reads; `mothshuntd --config FILE
--check` names every fault in it with its path and starts nothing.
"""

CONTRACT_HEAD = """\
## Contract of a customer

The JSON file that `mothshunt contract apply FILE` sends; `mothshunt contract
validate FILE` names every fault in it with its path and changes nothing. Beyond
the bounds of single keys, a contract is checked against itself; see the codes
3103 to 3111 in [RESULT_CODES.md](RESULT_CODES.md).
"""

ROUTING_HEAD = """\
## Routing items

The JSON file that `mothshunt routing apply FILE` sends. Each item has a version of
its own, and the highest takes effect, whether it sets or drops the item. All items of
a file take effect, or none does; see the codes 2701 to 2706 in
[RESULT_CODES.md](RESULT_CODES.md).
"""

_CLASS_BY_NAME: dict[str, Any] = {
    **vars(settings_config),
    **vars(contract_model),
    **vars(routing_model),
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Key:
    """Describe one key of a JSON document.

    :param path: Place in the document.
    :param description: JSON schema of its value.
    :param is_required: Whether it must be there.
    :param text: What it is for.
    """

    path: str
    description: dict[str, Any]
    is_required: bool
    text: str


def configuration_page() -> str:
    """Return the text of the page."""
    return "\n".join(_lines()) + "\n"


def _lines() -> Iterator[str]:
    yield HEAD
    tables = (
        (SETTINGS_HEAD, Settings),
        (CONTRACT_HEAD, Contract),
        (ROUTING_HEAD, PatchBody),
    )
    for head, cls in tables:
        yield head
        yield from _table(cls)
        yield ""


def _table(cls: type[Any]) -> Iterator[str]:
    document = schema.json_schema(cls)
    definitions = document.get("$defs", {})
    yield "| Key | Type | Unit | Default | Bounds | Meaning |"
    yield "| --- | --- | --- | --- | --- | --- |"
    for key in _keys(document, cls, "", definitions):
        yield _row(key)


def _keys(
    document: dict[str, Any], cls: type[Any], path: str, definitions: dict[str, Any]
) -> Iterator[Key]:
    texts = field_texts(cls)
    for name, description in document["properties"].items():
        resolved = _resolved(description, definitions)
        yield Key(
            path=f"{path}/{name}",
            description=_with_resolved_items(resolved, definitions),
            is_required=name in document.get("required", ()),
            text=texts[name],
        )
        yield from _inner_keys(resolved, f"{path}/{name}", definitions)


def _inner_keys(
    description: dict[str, Any], path: str, definitions: dict[str, Any]
) -> Iterator[Key]:
    if description.get("type") == "array":
        items = _resolved(description["items"], definitions)
        yield from _inner_keys(items, f"{path}/N", definitions)
    elif "properties" in description:
        cls = _CLASS_BY_NAME[description["title"]]
        yield from _keys(description, cls, path, definitions)


def _with_resolved_items(
    description: dict[str, Any], definitions: dict[str, Any]
) -> dict[str, Any]:
    if "items" not in description:
        return description
    items = _resolved(description["items"], definitions)
    return {**description, "items": items}


def _resolved(
    description: dict[str, Any], definitions: dict[str, Any]
) -> dict[str, Any]:
    """Return a description without references and without the null of an option."""
    options = [o for o in description.get("anyOf", ()) if o.get("type") != "null"]
    if len(options) == 1:
        rest = {key: value for key, value in description.items() if key != "anyOf"}
        return _resolved({**options[0], **rest}, definitions)
    if "$ref" in description:
        name = description["$ref"].rsplit("/", 1)[-1]
        rest = {key: value for key, value in description.items() if key != "$ref"}
        return _resolved({**definitions[name], **rest}, definitions)
    return description


def _row(key: Key) -> str:
    name = key.path.rsplit("/", 1)[-1]
    cells = (
        f"`{key.path}`",
        type_text(key.description),
        unit_text(name),
        "" if key.is_required else default_text(key.description),
        bounds_text(key.description),
        key.text,
    )
    return table_row(cells)
