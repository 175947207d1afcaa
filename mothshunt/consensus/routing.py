"""Requests that reach the leader from any control instance."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

from expression import Error, Ok, Result

from mothshunt.consensus import codes, const
from mothshunt.consensus.messages import Answer
from mothshunt.consensus.waiting import unknown
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId, Ran

#: Code of the peer streams for a message that the peer has surely not seen.
NO_STREAM_NUMBER = 1105

#: Failures after which the same request may be sent again at once.
RETRIED_CODES = frozenset(
    (
        codes.NO_LEADER.number,
        codes.NOT_LEADER.number,
        codes.SUPERSEDED.number,
        codes.CHANGE_IN_PROGRESS.number,
        codes.STOPPED.number,
    )
)

AnswerResult = Result[Answer, Failure]


def to_answer(failure: Failure) -> Answer:
    """Return the message that carries a failure.

    :param failure: The failure.
    """
    return Answer(
        code=failure.code.number,
        detail=failure.detail,
        ran=failure.ran,
        retry_after_s=failure.retry_after_s,
    )


def from_answer(answer: Answer) -> AnswerResult:
    """Return what a message carries.

    :param answer: The message.
    """
    if answer.code == 0:
        return Ok(answer)
    code = codes.BY_NUMBER.get(answer.code)
    if code is None:
        return Error(unknown(f"the leader answered with code {answer.code}"))
    failure = Failure(
        code=code,
        detail=answer.detail,
        ran=answer.ran,
        retry_after_s=answer.retry_after_s,
    )
    return Error(failure)


def no_leader(detail: str = "") -> Failure:
    """Return the failure of a request that no leader has seen.

    :param detail: What is known.
    """
    return Failure(
        code=codes.NO_LEADER, detail=detail, retry_after_s=const.RETRY_AFTER_S
    )


class LeaderRouter:
    """Bring requests to the leader, and again to the next one where that is safe.

    :param own: This instance.
    :param network: Streams to the other instances.
    :param clock: Source of the present time.
    :param leader: Returns the leader that is known now.
    :param leader_known: Set while a leader is known.
    """

    def __init__(
        self,
        *,
        own: InstanceId,
        network: PeerNetwork,
        clock: Clock,
        leader: Callable[[], InstanceId | None],
        leader_known: asyncio.Event,
    ) -> None:
        self._own = own
        self._network = network
        self._clock = clock
        self._leader = leader
        self._leader_known = leader_known

    async def async_run(
        self,
        *,
        message: Callable[[float], object],
        handle: Callable[[Any], Awaitable[Answer]],
        timeout_s: float,
        repeatable: bool,
    ) -> AnswerResult:
        """Have the leader handle a request.

        :param message: Makes the request, given the seconds that are left.
        :param handle: Handles the request here, when this instance leads.
        :param timeout_s: Seconds to wait.
        :param repeatable: Whether the request may be sent again when the leader may
            have seen it.
        :return: The answer of the leader; or the last failure.
        """
        deadline = self._clock.monotonic() + timeout_s
        while True:
            left_s = deadline - self._clock.monotonic()
            attempt_s = min(left_s, const.READ_ATTEMPT_S) if repeatable else left_s
            result = await self._async_attempt(message, handle, max(0.0, attempt_s))
            if result.is_ok():
                return result
            failure = result.error
            is_final = failure.code.number not in RETRIED_CODES
            if is_final and not (repeatable and failure.ran is Ran.UNKNOWN):
                return result
            if self._clock.monotonic() + const.RETRY_PAUSE_S >= deadline:
                return result
            await asyncio.sleep(const.RETRY_PAUSE_S)

    async def _async_attempt(
        self,
        message: Callable[[float], object],
        handle: Callable[[Any], Awaitable[Answer]],
        timeout_s: float,
    ) -> AnswerResult:
        began_at = self._clock.monotonic()
        leader = await self._async_leader(timeout_s)
        if leader is None:
            return Error(no_leader())
        timeout_s = max(0.0, timeout_s - (self._clock.monotonic() - began_at))
        request = message(timeout_s)
        if leader == self._own:
            return from_answer(await handle(request))
        reply = await self._async_forward(leader, request, timeout_s)
        match reply:
            case Result(tag="ok", ok=Answer() as answer):
                return from_answer(answer)
            case Result(tag="error", error=Failure() as failure):
                if failure.code.number == NO_STREAM_NUMBER:
                    return Error(no_leader(f"no stream to {leader}"))
                return Error(unknown(failure.detail or f"no answer from {leader}"))
        return Error(unknown(f"{leader} gave an answer of another kind"))

    async def _async_leader(self, timeout_s: float) -> InstanceId | None:
        """Wait until a leader is known; requests may be many, so none polls for it."""
        if self._leader() is None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self._leader_known.wait()
        return self._leader()

    async def _async_forward(
        self, leader: InstanceId, request: object, timeout_s: float
    ) -> Result[Any, Failure]:
        """Wait for the leader's answer, but no longer than it is the leader."""
        asked = asyncio.ensure_future(
            self._network.async_request(leader, request, timeout_s)
        )
        try:
            while not asked.done():
                await asyncio.wait({asked}, timeout=const.LEADER_CHECK_S)
                present = self._leader()
                if not asked.done() and present not in (leader, None):
                    return Error(unknown(f"{present} leads in place of {leader}"))
            return asked.result()
        finally:
            asked.cancel()
