"""Requests of the other slices to the replicated log."""

import asyncio

from expression import Error, Ok, Result

from mothshunt.consensus import codes, const
from mothshunt.consensus.driver import NodeDriver
from mothshunt.consensus.leader_service import LeaderService
from mothshunt.consensus.messages import (
    AddVoter,
    Answer,
    Propose,
    Read,
    RemoveVoter,
)
from mothshunt.consensus.model import Voter
from mothshunt.consensus.routing import LeaderRouter
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId, LogIndex, Term
from mothshunt.metrics.registry import Metrics


class LogClient:
    """Bring requests to the leader and count how they fail.

    :param driver: The node of this instance.
    :param service: Handles requests when this instance leads.
    :param network: Streams to the other instances.
    :param clock: Source of the present time.
    :param metrics: Counters and histograms.
    """

    def __init__(
        self,
        *,
        driver: NodeDriver,
        service: LeaderService,
        network: PeerNetwork,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._driver = driver
        self._service = service
        self._clock = clock
        self._metrics = metrics
        self._router = LeaderRouter(
            own=driver.state.id,
            network=network,
            clock=clock,
            leader=lambda: driver.state.leader,
            leader_known=driver.leader_known,
        )

    async def async_propose(
        self, command: bytes, timeout_s: float
    ) -> Result[bytes, Failure]:
        """Have a command committed and applied, see ``ReplicatedLog``."""
        if len(command) > const.MAX_COMMAND_BYTES:
            detail = f"{len(command)} bytes"
            return Error(Failure(code=codes.COMMAND_TOO_LARGE, detail=detail))
        started_at = self._clock.monotonic()
        result = await self._router.async_run(
            message=lambda left_s: Propose(command=command, timeout_s=left_s),
            handle=self._service.async_propose,
            timeout_s=timeout_s,
            repeatable=False,
        )
        match result:
            case Result(tag="ok", ok=answer):
                took_s = self._clock.monotonic() - started_at
                self._metrics.observe("mothshunt_consensus_propose_seconds", took_s)
                return Ok(answer.outcome)
            case Result(error=failure):
                self._count(failure)
                return Error(failure)

    async def async_read_barrier(self, timeout_s: float) -> Result[LogIndex, Failure]:
        """Wait until the state here holds all committed so far."""
        deadline = self._clock.monotonic() + timeout_s
        result = await self._router.async_run(
            message=lambda left_s: Read(timeout_s=left_s),
            handle=self._service.async_read,
            timeout_s=timeout_s,
            repeatable=True,
        )
        if result.is_error():
            return Error(self._not_confirmed(result.error))
        index = result.ok.index
        left_s = deadline - self._clock.monotonic()
        try:
            await asyncio.wait_for(
                self._driver.applier.async_wait(index), max(0.0, left_s)
            )
        except TimeoutError:
            detail = f"index {index} is confirmed but not applied here in time"
            late = Failure(code=codes.NOT_CONFIRMED, detail=detail)
            return Error(self._not_confirmed(late))
        return Ok(index)

    def _not_confirmed(self, cause: Failure) -> Failure:
        self._count(cause)
        detail = f"{cause.code.name}: {cause.detail}"
        return Failure(
            code=codes.NOT_CONFIRMED, detail=detail, retry_after_s=const.RETRY_AFTER_S
        )

    async def async_confirm_leadership(self, timeout_s: float) -> Result[Term, Failure]:
        """Confirm, in a round begun after the call, that this instance leads."""
        term = self._driver.state.term
        try:
            index = await asyncio.wait_for(self._driver.read(), timeout_s)
        except TimeoutError:
            index = None
        if index is None or self._driver.state.term != term:
            failure = Failure(code=codes.NOT_LEADER, retry_after_s=const.RETRY_AFTER_S)
            self._count(failure)
            return Error(failure)
        return Ok(term)

    async def async_add_voter(
        self, voter: Voter, timeout_s: float
    ) -> Result[LogIndex, Failure]:
        """Add one voter, which first catches up as a learner."""
        result = await self._router.async_run(
            message=lambda left_s: AddVoter(
                id=voter.id, host=voter.host, port=voter.port, timeout_s=left_s
            ),
            handle=self._service.async_add_voter,
            timeout_s=timeout_s,
            repeatable=False,
        )
        return self._index_of(result)

    async def async_remove_voter(
        self, voter: InstanceId, timeout_s: float
    ) -> Result[LogIndex, Failure]:
        """Remove one voter."""
        result = await self._router.async_run(
            message=lambda left_s: RemoveVoter(id=voter, timeout_s=left_s),
            handle=self._service.async_remove_voter,
            timeout_s=timeout_s,
            repeatable=False,
        )
        return self._index_of(result)

    def _index_of(self, result: Result[Answer, Failure]) -> Result[LogIndex, Failure]:
        match result:
            case Result(tag="ok", ok=answer):
                return Ok(answer.index)
            case Result(error=failure):
                self._count(failure)
                return Error(failure)

    def _count(self, failure: Failure) -> None:
        self._metrics.count(
            "mothshunt_consensus_failures_total", reason=failure.code.name
        )


def stopped() -> Failure:
    """Return the failure of a request while the log does not run here."""
    return Failure(code=codes.STOPPED, retry_after_s=const.RETRY_AFTER_S)
