"""Texts on values, made from their JSON schema."""

import json
from typing import Any

from mothshunt.core.const import ID_PATTERN, MAX_ID_LENGTH

UNIT_BY_SUFFIX = {
    "_per_s": "1/s",
    "_ms": "ms",
    "_s": "s",
}
UNIT_BY_NAME = {
    "capacity": "requests in flight",
    "cap": "requests in flight",
    "step": "requests in flight",
    "connections_per_target": "connections",
    "ratio": "retries per first attempt",
}
TYPE_BY_SCHEMA_TYPE = {
    "string": "text",
    "integer": "whole number",
    "number": "number",
    "boolean": "true or false",
    "object": "object",
}


def type_text(description: dict[str, Any]) -> str:
    """Return the type of a value.

    :param description: JSON schema of the value.
    """
    if "enum" in description:
        return "one of " + ", ".join(f"`{value}`" for value in description["enum"])
    if description["type"] == "array":
        return f"list: {type_text(description['items'])}"
    return TYPE_BY_SCHEMA_TYPE[description["type"]]


def unit_text(name: str) -> str:
    """Return the unit of a value.

    :param name: Its key.
    """
    if name in UNIT_BY_NAME:
        return UNIT_BY_NAME[name]
    for suffix, unit in UNIT_BY_SUFFIX.items():
        if name.endswith(suffix):
            return unit
    return ""


def default_text(description: dict[str, Any]) -> str:
    """Return the default of a value that may be left out.

    :param description: JSON schema of the value.
    """
    default = description.get("default")
    return "none" if default is None else f"`{json.dumps(default)}`"


def bounds_text(description: dict[str, Any]) -> str:
    """Return the bounds of a value.

    :param description: JSON schema of the value.
    """
    if description.get("pattern") == ID_PATTERN:
        return f"identifier of at most {MAX_ID_LENGTH} characters"
    parts = []
    for key, text in (
        ("minimum", "at least {}"),
        ("exclusiveMinimum", "above {}"),
        ("maximum", "at most {}"),
        ("minLength", "at least {} characters"),
        ("maxLength", "at most {} characters"),
        ("minItems", "at least {} entries"),
        ("maxItems", "at most {} entries"),
        ("pattern", "matches `{}`"),
    ):
        if key in description:
            parts.append(text.format(description[key]))
    return ", ".join(parts).replace(" 1 entries", " 1 entry")
