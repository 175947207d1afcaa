"""Operations on operators."""

import hmac
from collections.abc import Sequence

from expression import Error, Ok, Result

from mothshunt.access import codes as access_codes
from mothshunt.access.const import BOOTSTRAP_OPERATOR
from mothshunt.access.model import AccessRole, Operator
from mothshunt.access.state import check_replacement
from mothshunt.access.token import new_token, token_sha256
from mothshunt.admin.changes import ChangeHandlers
from mothshunt.admin.const import ATTR_OPERATOR
from mothshunt.admin.deployment_model import (
    OperatorChangeDocument,
    OperatorDocument,
    OperatorList,
)
from mothshunt.admin.gate import operators_of
from mothshunt.admin.messages import Call, Refusal, Reply, Route, Scope, refuse
from mothshunt.admin.model import ChangeDocument
from mothshunt.admin.parameters import ChangeQuery, OperatorBody, ReadQuery
from mothshunt.configuration.model import NO_REVISION, ItemKey, Section
from mothshunt.configuration.service import AuditRecord, ConfigurationService
from mothshunt.core.types import OperatorId
from mothshunt.util import schema


class OperatorHandlers:
    """Read and change operators.

    :param configuration: Holds the operators.
    :param changes: Commits the changes.
    """

    def __init__(
        self, configuration: ConfigurationService, changes: ChangeHandlers
    ) -> None:
        self._configuration = configuration
        self._changes = changes

    def routes(self) -> tuple[Route, ...]:
        """Return the operations of this module."""
        return (
            Route(
                method="GET",
                path="/v1/operators",
                summary="List the operators and their roles.",
                role=AccessRole.ADMINISTER,
                scope=Scope.DEPLOYMENT,
                handler=self._async_list,
                answer=OperatorList,
            ),
            Route(
                method="PUT",
                path="/v1/operators/{operator}",
                summary="Make an operator or replace its roles or token.",
                role=AccessRole.ADMINISTER,
                scope=Scope.DEPLOYMENT,
                handler=self._async_put,
                query=ChangeQuery,
                body=OperatorBody,
                answer=OperatorChangeDocument,
            ),
            Route(
                method="DELETE",
                path="/v1/operators/{operator}",
                summary="Remove an operator; its token is refused from then on.",
                role=AccessRole.ADMINISTER,
                scope=Scope.DEPLOYMENT,
                handler=self._async_delete,
                query=ChangeQuery,
                answer=OperatorChangeDocument,
            ),
        )

    async def _async_list(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        items = await self._configuration.async_items(
            Section.OPERATOR, call.query.timeout_s
        )
        if items.is_error():
            return Error(Refusal(failure=items.error))
        revision_by_name = {item.key.name: item.revision for item in items.ok}
        documents = [
            OperatorDocument(
                id=operator.id,
                revision=revision_by_name[operator.id],
                grants=operator.grants,
            )
            for operator in operators_of(items.ok)
        ]
        documents.sort(key=lambda document: document.id)
        return Ok(Reply(body=OperatorList(operators=tuple(documents))))

    async def _async_put(self, call: Call[ChangeQuery]) -> Result[Reply, Refusal]:
        body = call.document(OperatorBody)
        if body.is_error():
            return Error(body.error)
        id = _operator_id(call)
        if id == BOOTSTRAP_OPERATOR:
            return refuse(access_codes.OPERATOR_INVALID, "reserved name", "/id")
        prepared = await self._async_prepared(call, id, body.ok)
        if prepared.is_error():
            return Error(prepared.error)
        if isinstance(prepared.ok, Reply):
            return Ok(_with_token(prepared.ok, None))
        token, token_hash = _token(id, body.ok, prepared.ok)
        operator = Operator(id=id, token_sha256=token_hash, grants=body.ok.grants)
        if _is_token_taken(operator, prepared.ok):
            path = "/token_sha256"
            return refuse(access_codes.OPERATOR_INVALID, "token is in use", path)
        failure = check_replacement(prepared.ok, id, operator)
        if failure is not None:
            return Error(Refusal(failure=failure))
        changed = await self._changes.async_submit(
            call, _key(id), schema.to_json(operator), summary="operator set"
        )
        return changed.map(lambda reply: _with_token(reply, token))

    async def _async_delete(self, call: Call[ChangeQuery]) -> Result[Reply, Refusal]:
        id = _operator_id(call)
        if call.query.base_revision == NO_REVISION:
            return refuse(access_codes.OPERATOR_UNKNOWN, id)
        prepared = await self._async_prepared(call, id, None)
        if prepared.is_error():
            return Error(prepared.error)
        if isinstance(prepared.ok, Reply):
            return Ok(_with_token(prepared.ok, None))
        failure = check_replacement(prepared.ok, id, None)
        if failure is not None:
            return Error(Refusal(failure=failure))
        changed = await self._changes.async_submit(
            call, _key(id), None, summary="operator removed"
        )
        return changed.map(lambda reply: _with_token(reply, None))

    async def _async_prepared(
        self, call: Call[ChangeQuery], id: OperatorId, body: OperatorBody | None
    ) -> Result[Reply | tuple[Operator, ...], Refusal]:
        """Return the first answer of a change sent again, else all operators."""
        first = await self._changes.async_first_answer(
            call, _key(id), lambda record: _is_same(record, body)
        )
        if first.is_error():
            return Error(first.error)
        if first.ok is not None:
            return Ok(first.ok)
        items = await self._configuration.async_items(
            Section.OPERATOR, call.query.timeout_s
        )
        if items.is_error():
            return Error(Refusal(failure=items.error))
        return Ok(operators_of(items.ok))


def _key(id: OperatorId) -> ItemKey:
    return ItemKey(section=Section.OPERATOR, name=id)


def _is_same(record: AuditRecord, body: OperatorBody | None) -> bool:
    """Tell whether an accepted change is what a body asks for; no body removes."""
    if record.value is None or body is None:
        return record.value is None and body is None
    accepted = schema.from_json(Operator, record.value)
    if accepted.is_error() or accepted.ok.grants != body.grants:
        return False
    return body.token_sha256 in (None, accepted.ok.token_sha256)


def _operator_id(call: Call[object]) -> OperatorId:
    return OperatorId(call.path_values[ATTR_OPERATOR])


def _token(
    id: OperatorId, body: OperatorBody, operators: Sequence[Operator]
) -> tuple[str | None, str]:
    """Return the new token, where one is made here, and the hash to keep."""
    if body.token_sha256 is not None:
        return None, body.token_sha256
    present = next((operator for operator in operators if operator.id == id), None)
    if present is not None and not body.new_token:
        return None, present.token_sha256
    token = new_token()
    return token, token_sha256(token)


def _is_token_taken(operator: Operator, operators: Sequence[Operator]) -> bool:
    return any(
        hmac.compare_digest(other.token_sha256, operator.token_sha256)
        for other in operators
        if other.id != operator.id
    )


def _with_token(reply: Reply, token: str | None) -> Reply:
    assert isinstance(reply.body, ChangeDocument)
    # The kept hash is that of the first answer's token, which only it could show.
    shown = None if reply.body.repeated else token
    body = OperatorChangeDocument(change=reply.body, token=shown)
    return Reply(body=body, revision=reply.revision)
