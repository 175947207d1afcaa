"""Result codes and the OpenAPI page."""

from typing import Any

from expression import Ok, Result

from mothshunt.access.model import AccessRole
from mothshunt.admin.catalog import all_codes
from mothshunt.admin.deployment_model import CodeDocument, CodeList
from mothshunt.admin.messages import Call, Refusal, Reply, Route, Scope
from mothshunt.admin.openapi import openapi_document
from mothshunt.admin.parameters import ReadQuery


class PageHandlers:
    """Show what the release consists of; no token is needed.

    :param routes: Operations of the other modules.
    """

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self._routes = routes

    def routes(self) -> tuple[Route, ...]:
        """Return the operations of this module."""
        return (
            Route(
                method="GET",
                path="/v1/codes",
                summary="Explain the result codes.",
                role=AccessRole.READ,
                scope=Scope.OPEN,
                handler=self._async_codes,
                answer=CodeList,
            ),
            Route(
                method="GET",
                path="/v1/openapi.json",
                summary="Describe this API.",
                role=AccessRole.READ,
                scope=Scope.OPEN,
                handler=self._async_openapi,
                answer=dict[str, Any],
            ),
        )

    async def _async_codes(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        documents = tuple(
            CodeDocument(
                code=code.number,
                name=code.name,
                http_status=code.http_status,
                summary=code.summary,
                action=code.action,
            )
            for code in all_codes()
        )
        return Ok(Reply(body=CodeList(codes=documents)))

    async def _async_openapi(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        return Ok(Reply(body=openapi_document((*self._routes, *self.routes()))))
