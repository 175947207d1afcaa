"""Submission of changes, and what became of them."""

import time

from expression import Error, Ok, Result

from mothshunt.access.model import AccessRole
from mothshunt.admin import codes
from mothshunt.admin.const import ATTR_CHANGE_ID
from mothshunt.admin.messages import Call, Refusal, Reply, Route, Scope, refuse
from mothshunt.admin.model import ChangeDocument, WinnerDocument
from mothshunt.admin.parameters import ChangeQuery, ReadQuery
from mothshunt.configuration.messages import Change, ChangeOutcome, ChangeStatus
from mothshunt.configuration.model import ItemKey
from mothshunt.configuration.service import ConfigurationService, Item
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
                query=ReadQuery,
                answer=ChangeDocument,
            ),
        )

    async def async_submit(
        self, call: Call, query: ChangeQuery, key: ItemKey, value: bytes | None
    ) -> Result[Reply, Refusal]:
        """Have one change committed and answer with its outcome.

        :param call: The request.
        :param query: Names the change.
        :param key: The item.
        :param value: New JSON text of the item; ``None`` removes it.
        """
        change = Change(
            change_id=query.change_id,
            operator=call.operator.id,
            key=key,
            base_revision=query.base_revision,
            value=value,
            summary=query.summary,
            made_at_unix_ms=time.time_ns() // NANOSECONDS_PER_MS,
        )
        result = await self._configuration.async_submit(change, query.timeout_s)
        if result.is_error():
            return Error(submission_refusal(result.error, query.change_id))
        return outcome_reply(result.ok, query.change_id)

    async def _async_get(self, call: Call) -> Result[Reply, Refusal]:
        query = call.query(ReadQuery)
        if query.is_error():
            return Error(query.error)
        change_id = ChangeId(call.path_values[ATTR_CHANGE_ID])
        found = await self._configuration.async_find(change_id, query.ok.timeout_s)
        if found.is_error():
            return Error(Refusal(failure=found.error, change_id=change_id))
        if found.ok is None:
            return refuse(codes.CHANGE_UNKNOWN, change_id)
        return Ok(Reply(body=_document(found.ok)))


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
        return Ok(Reply(body=_document(outcome), revision=outcome.revision))
    if outcome.status is ChangeStatus.REFUSED:
        failure = Failure(code=codes.CHANGE_REFUSED, detail=outcome.detail)
        return Error(Refusal(failure=failure, change_id=change_id))
    winner = WinnerDocument(
        change_id=outcome.change_id,
        operator=outcome.operator,
        revision=outcome.revision,
    )
    detail = (
        f"change {winner.change_id} of {winner.operator} was accepted at revision "
        f"{winner.revision}"
    )
    failure = Failure(code=codes.CHANGE_CONFLICT, detail=detail)
    return Error(Refusal(failure=failure, change_id=change_id, winner=winner))


def _document(outcome: ChangeOutcome) -> ChangeDocument:
    return ChangeDocument(
        status=outcome.status.value,
        change_id=outcome.change_id,
        operator=outcome.operator,
        revision=outcome.revision,
        repeated=outcome.repeated,
        detail=outcome.detail,
    )
