"""History of contracts, rollback, and the audit trail."""

import json
from datetime import UTC, datetime
from typing import Any

from expression import Error, Ok, Result

from mothshunt.access.model import AccessRole
from mothshunt.admin import codes
from mothshunt.admin.changes import ChangeHandlers
from mothshunt.admin.const import MAX_RECORDS, MS_PER_S
from mothshunt.admin.contracts import contract_key, faulty
from mothshunt.admin.messages import Call, Refusal, Reply, Route, Scope, refuse
from mothshunt.admin.model import ChangeDocument, RecordDocument, RecordList
from mothshunt.admin.parameters import RecordQuery, RollbackQuery
from mothshunt.configuration.model import Section
from mothshunt.configuration.service import AuditRecord, ConfigurationService
from mothshunt.contract.check import check_contract
from mothshunt.core.types import CustomerId
from mothshunt.routing.workspaces import without_document
from mothshunt.util import schema

ATTR_TOKEN_HASH = "token_sha256"


class HistoryHandlers:
    """Show accepted changes and go back to earlier values.

    :param configuration: Holds the audit trail.
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
                path="/v1/contracts/{customer}/history",
                summary="List the changes of a contract, newest first.",
                role=AccessRole.READ,
                scope=Scope.CUSTOMER,
                handler=self._async_history,
                query=RecordQuery,
                answer=RecordList,
            ),
            Route(
                method="POST",
                path="/v1/contracts/{customer}/rollback",
                summary="Put an earlier value in force again, as a new revision.",
                role=AccessRole.CHANGE,
                scope=Scope.CUSTOMER,
                handler=self._async_rollback,
                query=RollbackQuery,
                answer=ChangeDocument,
            ),
            *self.audit_routes(),
        )

    def audit_routes(self) -> tuple[Route, ...]:
        """Return the operations that concern no contract."""
        return (
            Route(
                method="GET",
                path="/v1/audit",
                summary="List who changed what, newest first.",
                role=AccessRole.READ,
                scope=Scope.ANY,
                handler=self._async_audit,
                query=RecordQuery,
                answer=RecordList,
            ),
        )

    async def _async_history(self, call: Call[RecordQuery]) -> Result[Reply, Refusal]:
        query = call.query
        records = await self._configuration.async_audit(
            contract_key(call.customer()), query.limit, query.timeout_s
        )
        if records.is_error():
            return Error(Refusal(failure=records.error))
        return Ok(_reply(records.ok, query.values))

    async def _async_rollback(
        self, call: Call[RollbackQuery]
    ) -> Result[Reply, Refusal]:
        key = contract_key(call.customer())
        records = await self._configuration.async_audit(
            key, MAX_RECORDS, call.query.timeout_s
        )
        if records.is_error():
            return Error(Refusal(failure=records.error))
        value = _value_at(records.ok, call.query)
        if value is None:
            return refuse(codes.REVISION_UNKNOWN, f"{key.name} {call.query.revision}")
        # A later release may refuse what an earlier one accepted.
        checked = check_contract(value)
        if checked.is_error():
            return Error(faulty(checked.error))
        return await self._changes.async_submit(
            call,
            key,
            schema.to_json(checked.ok),
            summary=f"back to revision {call.query.revision}",
        )

    async def _async_audit(self, call: Call[RecordQuery]) -> Result[Reply, Refusal]:
        query = call.query
        reads_all = call.operator.has_role(AccessRole.READ, None)
        limit = query.limit if reads_all else MAX_RECORDS
        records = await self._configuration.async_audit(None, limit, query.timeout_s)
        if records.is_error():
            return Error(Refusal(failure=records.error))
        shown = [r for r in records.ok if reads_all or _may_read(call, r)]
        return Ok(_reply(tuple(shown[: query.limit]), query.values))


def _may_read(call: Call[RecordQuery], record: AuditRecord) -> bool:
    if record.key.section is not Section.CONTRACT:
        return False
    return call.operator.has_role(AccessRole.READ, CustomerId(record.key.name))


def _value_at(records: tuple[AuditRecord, ...], query: RollbackQuery) -> bytes | None:
    values = (r.value for r in records if r.revision == query.revision)
    return next(values, None)


def _reply(records: tuple[AuditRecord, ...], with_values: bool) -> Reply:
    documents = tuple(_document(record, with_values) for record in records)
    return Reply(body=RecordList(records=documents))


def _document(record: AuditRecord, with_value: bool) -> RecordDocument:
    return RecordDocument(
        revision=record.revision,
        change_id=record.change_id,
        operator=record.operator,
        section=record.key.section.value,
        name=record.key.name,
        summary=record.summary,
        made_at=_wall_clock_text(record.made_at_unix_ms),
        removed=record.value is None,
        value=_shown_value(record) if with_value else None,
    )


def _wall_clock_text(unix_ms: int) -> str | None:
    if not unix_ms:
        return None
    made_at = datetime.fromtimestamp(unix_ms / MS_PER_S, UTC)
    return made_at.isoformat(timespec="milliseconds")


def _shown_value(record: AuditRecord) -> Any:
    if record.value is None:
        return None
    value = json.loads(record.value)
    if record.key.section is Section.OPERATOR:
        value.pop(ATTR_TOKEN_HASH, None)
    if record.key.section is Section.WORKSPACE:
        # The document contains the workspace's keys.
        value = json.loads(without_document(record.value))
    return value
