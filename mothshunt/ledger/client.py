"""Client of the ledger on an entry instance."""

import asyncio
import secrets
from dataclasses import dataclass, replace

from expression import Error, Ok, Result

from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure, ResultCode
from mothshunt.core.network import ControlConnection
from mothshunt.core.types import Ran
from mothshunt.helpers.log import get_logger
from mothshunt.ledger import codes
from mothshunt.ledger.const import (
    COMMAND_TIMEOUT_S,
    MAX_BODY_BYTES,
    MAX_PENDING_SETTLES,
    METRIC_CLAIM_LATENCY,
    METRIC_CLAIMS,
    METRIC_SETTLES,
    RETRY_AFTER_S,
    RETRY_INTERVAL_S,
    SETTLE_TIMEOUT_S,
    STOP_TIMEOUT_S,
)
from mothshunt.ledger.messages import (
    Claim,
    ClaimOutcome,
    ClaimStatus,
    Done,
    Record,
    Release,
)
from mothshunt.ledger.model import KeyClaim, KeyedRequest, StoredResponse
from mothshunt.metrics.registry import Metrics

ATTEMPT_ID_BYTES = 16
MILLISECONDS_PER_SECOND = 1000

_LOGGER = get_logger("ledger")
_CODE_BY_STATUS: dict[ClaimStatus, ResultCode] = {
    ClaimStatus.IN_PROGRESS: codes.IN_PROGRESS,
    ClaimStatus.UNKNOWN: codes.OUTCOME_UNKNOWN,
    ClaimStatus.CONFLICT: codes.KEY_CONFLICT,
    ClaimStatus.FULL: codes.LEDGER_FULL,
    ClaimStatus.WITHDRAWN: codes.CLAIM_WITHDRAWN,
}
_MAY_HAVE_RUN_STATUSES = frozenset({ClaimStatus.IN_PROGRESS, ClaimStatus.UNKNOWN})


class LedgerClient:
    """Client that claims idempotency keys and settles (records or releases) claims.

    :param control: Connection to the control instances.
    :param metrics: Metrics of the process.
    :param clock: Source of the current time.
    """

    def __init__(
        self, *, control: ControlConnection, metrics: Metrics, clock: Clock
    ) -> None:
        self._control = control
        self._metrics = metrics
        self._clock = clock
        self._settle_tasks: set[asyncio.Task[None]] = set()

    async def async_start(self) -> None:
        """Do nothing; keys can be claimed at any time."""

    async def async_stop(self) -> None:
        """Wait until every claim is settled, for ``STOP_TIMEOUT_S`` at most."""
        if not self._settle_tasks:
            return
        _, unsettled = await asyncio.wait(self._settle_tasks, timeout=STOP_TIMEOUT_S)
        for task in unsettled:
            task.cancel()
        if unsettled:
            _LOGGER.warning(
                "stopped before all claims were recorded or released",
                count=len(unsettled),
            )

    async def async_claim(
        self, request: KeyedRequest, deadline: float
    ) -> Result[KeyClaim | StoredResponse, Failure]:
        """Claim an idempotency key through the replicated log.

        :param request: The request.
        :param deadline: Monotonic time at which the request ends, in seconds.
        :return: The claim, if it is committed and owned by this call alone; or the
            stored response to an earlier request with the key; or a failure, after
            which the request must not be dispatched.
        """
        started_at = self._clock.monotonic()
        runs_ms = max(1, int((deadline - started_at) * MILLISECONDS_PER_SECOND))
        command = Claim(
            key=request.key,
            fingerprint=request.fingerprint,
            attempt=secrets.token_bytes(ATTEMPT_ID_BYTES),
            runs_ms=runs_ms,
        )
        claim = _SentClaim(self, command)
        try:
            outcome = await self._async_claim_outcome(command, deadline)
        except asyncio.CancelledError:
            # The claim may be committed already, or may be later. Its request was
            # cancelled and will not use it.
            claim.release()
            raise
        self._metrics.observe(
            METRIC_CLAIM_LATENCY, self._clock.monotonic() - started_at
        )
        if outcome is None:
            claim.release()
            self._metrics.count(METRIC_CLAIMS, outcome="unavailable")
            return Error(_unavailable_failure())
        self._metrics.count(METRIC_CLAIMS, outcome=outcome.status.value)
        if outcome.status is ClaimStatus.OWNED:
            return Ok(claim)
        return _claim_result(outcome)

    def settle(self, command: Record | Release) -> None:
        """Send the command that settles a claim in the background.

        :param command: Command that records the response or releases the claim.
        """
        if len(self._settle_tasks) >= MAX_PENDING_SETTLES:
            self._metrics.count(METRIC_SETTLES, outcome="dropped")
            return
        task = asyncio.create_task(self._async_settle(command))
        self._settle_tasks.add(task)
        task.add_done_callback(self._settle_tasks.discard)

    async def _async_claim_outcome(
        self, command: Claim, deadline: float
    ) -> ClaimOutcome | None:
        """Send a claim until its outcome is known or the deadline has passed."""
        while (remaining_s := deadline - self._clock.monotonic()) > 0:
            reply = await self._control.async_ask(
                command, min(COMMAND_TIMEOUT_S, remaining_s)
            )
            match reply:
                case Result(tag="ok", ok=ClaimOutcome() as outcome):
                    return outcome
            await asyncio.sleep(RETRY_INTERVAL_S)
        return None

    async def _async_settle(self, command: Record | Release) -> None:
        give_up_at = self._clock.monotonic() + SETTLE_TIMEOUT_S
        while self._clock.monotonic() < give_up_at:
            match await self._control.async_ask(command, COMMAND_TIMEOUT_S):
                case Result(tag="ok", ok=Done()):
                    self._metrics.count(METRIC_SETTLES, outcome="settled")
                    return
            await asyncio.sleep(RETRY_INTERVAL_S)
        self._metrics.count(METRIC_SETTLES, outcome="given_up")
        _LOGGER.warning("gave up recording or releasing a claim", key=command.key.key)


@dataclass(frozen=True, slots=True)
class _SentClaim:
    """Claim that this client has sent and not yet settled."""

    client: LedgerClient
    command: Claim

    def record(self, response: StoredResponse) -> None:
        """Store the response of the request, in the background.

        :param response: Response of the target.
        """
        if response.body is not None and len(response.body) > MAX_BODY_BYTES:
            response = replace(response, headers=(), body=None)
        command = Record(
            key=self.command.key, attempt=self.command.attempt, answer=response
        )
        self.client.settle(command)

    def release(self) -> None:
        """Release the key of a request that was not run, in the background."""
        command = Release(
            key=self.command.key,
            fingerprint=self.command.fingerprint,
            attempt=self.command.attempt,
        )
        self.client.settle(command)


def _claim_result(outcome: ClaimOutcome) -> Result[KeyClaim | StoredResponse, Failure]:
    if outcome.status is ClaimStatus.ANSWERED and outcome.answer is not None:
        if outcome.answer.body is not None:
            return Ok(outcome.answer)
        detail = f"the first response had status {outcome.answer.status}"
        failure = Failure(code=codes.ANSWER_NOT_KEPT, detail=detail, ran=Ran.UNKNOWN)
        return Error(failure)
    status = outcome.status
    ran = Ran.UNKNOWN if status in _MAY_HAVE_RUN_STATUSES else Ran.NO
    retry_after_s = _retry_after_s(outcome)
    return Error(
        Failure(code=_CODE_BY_STATUS[status], ran=ran, retry_after_s=retry_after_s)
    )


def _retry_after_s(outcome: ClaimOutcome) -> float | None:
    if outcome.status is ClaimStatus.IN_PROGRESS:
        return min(RETRY_AFTER_S, outcome.runs_ms / MILLISECONDS_PER_SECOND)
    if outcome.status in (ClaimStatus.FULL, ClaimStatus.WITHDRAWN):
        return RETRY_AFTER_S
    return None


def _unavailable_failure() -> Failure:
    return Failure(code=codes.LEDGER_UNAVAILABLE, retry_after_s=RETRY_AFTER_S)
