"""Operations on the voters of the replicated log."""

from expression import Error, Ok, Result

from mothshunt.access.model import AccessRole
from mothshunt.admin import codes
from mothshunt.admin.const import ATTR_VOTER, CONFIRM_TIMEOUT_S
from mothshunt.admin.deployment_model import VoterChangeDocument
from mothshunt.admin.messages import Call, Refusal, Reply, Route, Scope, refuse
from mothshunt.admin.parameters import ReadQuery, VoterBody, VoterQuery
from mothshunt.configuration.model import ConfigurationSource
from mothshunt.consensus.model import ConsensusStatus, ReplicatedLog, Voter
from mothshunt.core.types import InstanceId, Role
from mothshunt.membership.model import InstanceRecord
from mothshunt.receipt.model import Receipt
from mothshunt.settings.config import MAX_CONTROL_INSTANCES


class VoterHandlers:
    """Show and change the voters of the replicated log.

    :param log: The replicated log.
    :param source: Holds the peer addresses of the instances.
    """

    def __init__(self, log: ReplicatedLog, source: ConfigurationSource) -> None:
        self._log = log
        self._source = source

    def routes(self) -> tuple[Route, ...]:
        """Return the operations of this module."""
        return (
            Route(
                method="GET",
                path="/v1/voters",
                summary="Show the replicated log as this instance sees it.",
                role=AccessRole.READ,
                scope=Scope.ANY,
                handler=self._async_get,
                query=VoterQuery,
                answer=ConsensusStatus,
            ),
            Route(
                method="POST",
                path="/v1/voters",
                summary="Add one voter, which first catches up as a learner.",
                role=AccessRole.ADMINISTER,
                scope=Scope.DEPLOYMENT,
                handler=self._async_add,
                body=VoterBody,
                answer=VoterChangeDocument,
            ),
            Route(
                method="DELETE",
                path="/v1/voters/{voter}",
                summary="Remove one voter.",
                role=AccessRole.ADMINISTER,
                scope=Scope.DEPLOYMENT,
                handler=self._async_remove,
                answer=VoterChangeDocument,
            ),
        )

    async def _async_get(self, call: Call[VoterQuery]) -> Result[Reply, Refusal]:
        status: Result[ConsensusStatus, Refusal] = Ok(self._log.status())
        if call.query.confirmed:
            status = await self._async_confirmed_status()
        return status.map(lambda shown: Reply(body=shown))

    async def _async_add(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        body = call.document(VoterBody)
        if body.is_error():
            return Error(body.error)
        record = self._source.current().instance_by_id.get(body.ok.id)
        if record is not None and Role.CONTROL not in record.roles:
            return refuse(codes.VOTER_WITHOUT_ROLE, record.id)
        voter = _voter(body.ok, record)
        if voter is None:
            return refuse(codes.VOTER_UNKNOWN, f"no peer address of {body.ok.id}")
        status = await self._async_status_for_change(call.receipt)
        if status.is_error():
            return Error(status.error)
        if voter in status.ok.voters:
            return Ok(_reply(voter.id, None))
        others = _member_ids(status.ok) - {voter.id}
        if len(others) >= MAX_CONTROL_INSTANCES:
            return refuse(codes.TOO_MANY_VOTERS, ", ".join(sorted(others)))
        added = await self._log.async_add_voter(voter, call.query.timeout_s)
        if added.is_error():
            return Error(Refusal(failure=added.error))
        return Ok(_reply(voter.id, added.ok))

    async def _async_remove(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        id = InstanceId(call.path_values[ATTR_VOTER])
        status = await self._async_status_for_change(call.receipt)
        if status.is_error():
            return Error(status.error)
        if id not in _member_ids(status.ok):
            if id not in self._source.current().instance_by_id:
                return refuse(codes.VOTER_UNKNOWN, id)
            return Ok(_reply(id, None))
        if [voter.id for voter in status.ok.voters] == [id]:
            return refuse(codes.LAST_VOTER, id)
        removed = await self._log.async_remove_voter(id, call.query.timeout_s)
        if removed.is_error():
            return Error(Refusal(failure=removed.error))
        return Ok(_reply(id, removed.ok))

    async def _async_status_for_change(
        self, receipt: Receipt
    ) -> Result[ConsensusStatus, Refusal]:
        """Return the status that a change is based on, unless it came too late.

        :param receipt: Receipt of the operator's call.
        """
        status = await self._async_confirmed_status()
        refusal = receipt.find_refusal()
        if refusal is not None:
            return Error(Refusal(failure=refusal))
        return status

    async def _async_confirmed_status(self) -> Result[ConsensusStatus, Refusal]:
        # An instance that was removed hears of no later change, its own included.
        confirmed = await self._log.async_read_barrier(CONFIRM_TIMEOUT_S)
        if confirmed.is_error():
            return Error(Refusal(failure=confirmed.error))
        return Ok(self._log.status())


def _member_ids(status: ConsensusStatus) -> set[InstanceId]:
    return {voter.id for voter in (*status.voters, *status.learners)}


def _voter(body: VoterBody, record: InstanceRecord | None) -> Voter | None:
    if body.host is not None and body.port is not None:
        return Voter(id=body.id, host=body.host, port=body.port)
    if record is None:
        return None
    return Voter(id=body.id, host=record.peer_host, port=record.peer_port)


def _reply(voter: InstanceId, log_index: int | None) -> Reply:
    return Reply(body=VoterChangeDocument(voter=voter, log_index=log_index))
