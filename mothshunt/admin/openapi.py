"""OpenAPI page of the administration API, made from its routes."""

import re
from collections.abc import Mapping, Sequence
from typing import Any

from mothshunt import __version__
from mothshunt.admin.field_texts import field_texts, summary_text
from mothshunt.admin.messages import Route, Scope
from mothshunt.admin.model import ErrorDocument
from mothshunt.core.const import ID_PATTERN
from mothshunt.util import schema

OPENAPI_VERSION = "3.1.0"
CONTENT_TYPE = "application/json"
_REFERENCE_PREFIX = "#/$defs/"
_COMPONENT_PREFIX = "#/components/schemas/"


def openapi_document(routes: Sequence[Route]) -> dict[str, Any]:
    """Return the OpenAPI page.

    :param routes: Operations of the API.
    """
    components: dict[str, Any] = {}
    _add_component(components, ErrorDocument)
    paths: dict[str, dict[str, Any]] = {}
    for route in routes:
        operation = _operation(route, components)
        paths.setdefault(route.path, {})[route.method.lower()] = operation
    return {
        "openapi": OPENAPI_VERSION,
        "info": {"title": "mothshunt administration API", "version": __version__},
        "paths": paths,
        "components": {
            "schemas": dict(sorted(components.items())),
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
    }


def _operation(route: Route, components: dict[str, Any]) -> dict[str, Any]:
    operation: dict[str, Any] = {
        "summary": route.summary,
        "operationId": _operation_id(route),
        "parameters": [*_path_parameters(route), *_query_parameters(route)],
        "responses": {
            "200": _content("Done.", _add_component(components, route.answer)),
            "default": _content(
                "Refused; see docs/RESULT_CODES.md.",
                {"$ref": f"{_COMPONENT_PREFIX}{ErrorDocument.__name__}"},
            ),
        },
    }
    if route.scope is not Scope.OPEN:
        operation["security"] = [{"token": []}]
        operation["description"] = (
            f"Needs the role {route.role.value}, scope {route.scope.value}."
        )
    if route.body is not None:
        reference = _add_component(components, route.body)
        operation["requestBody"] = {"content": {CONTENT_TYPE: {"schema": reference}}}
    return operation


def _operation_id(route: Route) -> str:
    words = re.findall(r"\w+", route.path.removeprefix("/v1"))
    return "_".join([route.method.lower(), *words])


def _path_parameters(route: Route) -> list[dict[str, Any]]:
    return [
        {
            "name": name,
            "in": "path",
            "required": True,
            "schema": {"type": "string", "pattern": ID_PATTERN},
        }
        for name in re.findall(r"{(\w+)}", route.path)
    ]


def _query_parameters(route: Route) -> list[dict[str, Any]]:
    document = schema.json_schema(route.query)
    texts = field_texts(route.query)
    required = document.get("required", ())
    return [
        {
            "name": name,
            "in": "query",
            "required": name in required,
            "description": texts.get(name, ""),
            "schema": value,
        }
        for name, value in document["properties"].items()
    ]


def _add_component(components: dict[str, Any], cls: type[Any]) -> dict[str, str]:
    document = schema.json_schema(cls)
    components.update(_referring(document.pop("$defs", {})))
    document["description"] = summary_text(cls)
    texts = field_texts(cls)
    for name, value in document.get("properties", {}).items():
        if name in texts:
            value["description"] = texts[name]
    components[cls.__name__] = _referring(document)
    return {"$ref": f"{_COMPONENT_PREFIX}{cls.__name__}"}


def _content(description: str, reference: Mapping[str, str]) -> dict[str, Any]:
    return {
        "description": description,
        "content": {CONTENT_TYPE: {"schema": reference}},
    }


def _referring(value: Any) -> Any:
    """Return a copy whose references lead to the components of the page."""
    if isinstance(value, dict):
        return {key: _referring(inner) for key, inner in value.items()}
    if isinstance(value, list):
        return [_referring(inner) for inner in value]
    if isinstance(value, str) and value.startswith(_REFERENCE_PREFIX):
        return _COMPONENT_PREFIX + value.removeprefix(_REFERENCE_PREFIX)
    return value
