"""Submission of changes, and what became of them."""

import time
from collections.abc import Callable

from expression import Error, Ok, Result

from mothshunt.access.model import AccessRole
from mothshunt.admin import codes
from mothshunt.admin.const import ATTR_CHANGE_ID, MAX_RECORDS
from mothshunt.admin.messages import Call, Refusal, Reply, Route, Scope, refuse
from mothshunt.admin.model import ChangeDocument, WinnerDocument
from mothshunt.admin.parameters import ChangeQuery, ReadQuery
from mothshunt.configuration.messages import Change, ChangeOutcome, ChangeStatus
from mothshunt.configuration.model import ItemKey
from mothshunt.configuration.service import AuditRecord, ConfigurationService, Item
from mothshunt.core.codes import Failure
from mothshunt.core.types import ChangeId, Ran

NANOSECONDS_PER_MS = 1_000_000


class ChangeHandlers:
    """Have changes committed and tell what became of them.

    :param configuration: Commits the changes.
    """

    def __init__(self, configuration: ConfigurationService) -> None:
        self._configuration = configuration

    def routes(self) -> tuple[Route, ...]:
        """Return the operations of this module."""
        return (
            Route(
                method="GET",
                path="/v1/changes/{change_id}",
                summary="Tell what became of a change.",
                role=AccessRole.READ,
                scope=Scope.ANY,
                handler=self._async_get,
                answer=ChangeDocument,
            ),
        )

    async def async_submit(
        self,
        call: Call[ChangeQuery],
        key: ItemKey,
        value: bytes | None,
        *,
        summary: str,
    ) -> Result[Reply, Refusal]:
        """Have one change committed and answer with its outcome.

        :param call: The request; its query names the change.
        :param key: The item.
        :param value: New JSON text of the item; ``None`` removes it.
        :param summary: Text for the audit trail where the operator gives none.
        """
        query = call.query
        change = Change(
            change_id=query.change_id,
            operator=call.operator.id,
            key=key,
            base_revision=query.base_revision,
            value=value,
            summary=query.summary or summary,
            made_at_unix_ms=time.time_ns() // NANOSECONDS_PER_MS,
        )
        result = await self._configuration.async_submit(change, query.timeout_s)
        if result.is_error():
            return Error(submission_refusal(result.error, query.change_id))
        return outcome_reply(result.ok, query.change_id)

    async def async_first_answer(
        self,
        call: Call[ChangeQuery],
        key: ItemKey,
        is_same: Callable[[AuditRecord], bool],
    ) -> Result[Reply | None, Refusal]:
        """Return the first answer to a change that was sent again.

        Needed where a change sent again is not worked out alike, so that the
        replicated configuration can't tell that it is the same.

        :param call: The request; its query names the change.
        :param key: The item.
        :param is_same: Tells whether an accepted change is what is asked for.
        :return: The answer, ``None`` where the change has not been accepted.
        """
        records = await self._configuration.async_audit(
            key, MAX_RECORDS, call.query.timeout_s
        )
        if records.is_error():
            return Error(Refusal(failure=records.error))
        change_id = call.query.change_id
        found = next((r for r in records.ok if r.change_id == change_id), None)
        if found is None:
            return Ok(None)
        if found.operator != call.operator.id or not is_same(found):
            return refuse(codes.CHANGE_REFUSED, "the id is that of another change")
        return Ok(_first_answer(found))

    async def _async_get(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        change_id = ChangeId(call.path_values[ATTR_CHANGE_ID])
        found = await self._configuration.async_find(change_id, call.query.timeout_s)
        if found.is_error():
            return Error(Refusal(failure=found.error, change_id=change_id))
        if found.ok is None:
            return refuse(codes.CHANGE_UNKNOWN, change_id)
        return Ok(Reply(body=_document(found.ok, change_id)))


async def async_find_item(
    configuration: ConfigurationService, key: ItemKey, timeout_s: float
) -> Result[Item | None, Refusal]:
    """Return a present item, confirmed by a majority.

    :param configuration: Holds the items.
    :param key: Name of the item.
    :param timeout_s: Seconds to wait.
    :return: The item, ``None`` where it does not exist.
    """
    items = await configuration.async_items(key.section, timeout_s)
    if items.is_error():
        return Error(Refusal(failure=items.error))
    present = (item for item in items.ok if item.key == key)
    return Ok(next((item for item in present if item.value is not None), None))


def submission_refusal(failure: Failure, change_id: ChangeId) -> Refusal:
    """Return the answer to a change that got no outcome.

    :param failure: Why there is none.
    :param change_id: The change.
    """
    if failure.ran is Ran.NO:
        return Refusal(failure=failure, change_id=change_id)
    detail = f"change {change_id}: {failure.code.name} {failure.detail}".rstrip()
    unknown = Failure(
        code=codes.CHANGE_OUTCOME_UNKNOWN,
        detail=detail,
        ran=Ran.UNKNOWN,
        retry_after_s=failure.retry_after_s,
    )
    return Refusal(failure=unknown, change_id=change_id)


def outcome_reply(
    outcome: ChangeOutcome, change_id: ChangeId
) -> Result[Reply, Refusal]:
    """Return the answer to a change that got an outcome.

    :param outcome: What became of the change.
    :param change_id: The change.
    """
    if outcome.status is ChangeStatus.ACCEPTED:
        return Ok(Reply(body=_document(outcome, change_id), revision=outcome.revision))
    if outcome.status is ChangeStatus.REFUSED:
        failure = Failure(code=codes.CHANGE_REFUSED, detail=outcome.detail)
        return Error(Refusal(failure=failure, change_id=change_id))
    winner = _winner(outcome)
    detail = (
        f"change {winner.change_id} of {winner.operator} was accepted at revision "
        f"{winner.revision}"
    )
    failure = Failure(code=codes.CHANGE_CONFLICT, detail=detail)
    return Error(Refusal(failure=failure, change_id=change_id, winner=winner))


def _document(outcome: ChangeOutcome, change_id: ChangeId) -> ChangeDocument:
    # Only the outcome of an accepted change tells of the change itself.
    is_accepted = outcome.status is ChangeStatus.ACCEPTED
    is_conflict = outcome.status is ChangeStatus.CONFLICT
    return ChangeDocument(
        status=outcome.status.value,
        change_id=change_id,
        operator=outcome.operator if is_accepted else None,
        revision=outcome.revision if is_accepted else None,
        repeated=outcome.repeated,
        detail=outcome.detail,
        winner=_winner(outcome) if is_conflict else None,
    )


def _winner(outcome: ChangeOutcome) -> WinnerDocument:
    return WinnerDocument(
        change_id=outcome.change_id,
        operator=outcome.operator,
        revision=outcome.revision,
    )


def _first_answer(record: AuditRecord) -> Reply:
    document = ChangeDocument(
        status=ChangeStatus.ACCEPTED.value,
        change_id=record.change_id,
        operator=record.operator,
        revision=record.revision,
        repeated=True,
    )
    return Reply(body=document, revision=record.revision)
