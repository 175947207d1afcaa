"""Retries of a request until a target responds or no further attempt is allowed."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from aiohttp import web
from expression import Result

from mothshunt.contract.model import Contract
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.types import CustomerId, Ran, TargetId
from mothshunt.dispatch.attempt import AttemptRunner, ForwardedRequest
from mothshunt.dispatch.attempt_failure import AttemptFailure
from mothshunt.dispatch.const import (
    MAX_ATTEMPTS,
    METRIC_BROKEN_OFF,
    METRIC_GIVEN_UP,
    METRIC_RETRIES,
)
from mothshunt.dispatch.model import AsyncTargetChooser
from mothshunt.dispatch.relay import AnswerBrokenOffError
from mothshunt.dispatch.request import ParsedRequest
from mothshunt.dispatch.retry import (
    FailedAttempt,
    RetryReason,
    TokenBucket,
    give_up_reason,
)
from mothshunt.dispatch.watch import WatchedAttempt
from mothshunt.helpers.transports import break_off_response
from mothshunt.metrics.registry import Metrics
from mothshunt.steering.model import Choice


@dataclass(kw_only=True, slots=True)
class AttemptHistory:
    """Attempts at one request so far.

    :param attempts: Number of attempts that were started.
    :param excluded: Targets that must not be chosen again.
    :param silent: Those of the excluded targets whose connection was silent.
    :param failure: Failure reported to the caller if no further attempt is made.
    """

    attempts: int = 0
    excluded: set[TargetId] = field(default_factory=set)
    silent: set[TargetId] = field(default_factory=set)
    failure: Failure | None = None

    def merge(self, failure: Failure) -> Failure:
        """Return a failure whose ``ran`` also covers the earlier attempts.

        :param failure: The newest failure.
        """
        return _merge_ran(self.failure, failure)

    def record(self, choice: Choice, result: AttemptFailure) -> Failure:
        """Record a failed attempt and return the failure that the caller would get now.

        :param choice: The target.
        :param result: How the attempt failed.
        """
        self.excluded.add(choice.target.id)
        if result.reason is RetryReason.SILENT:
            self.silent.add(choice.target.id)
        self.failure = self.merge(result.failure)
        return self.failure


class Retrier:
    """Runner of a request's attempts, for each of which it chooses a target.

    :param attempt_runner: Runner of single attempts.
    :param chooser: Chooser of targets.
    :param metrics: Metrics of the process.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        *,
        attempt_runner: AttemptRunner,
        chooser: AsyncTargetChooser,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._attempt_runner = attempt_runner
        self._chooser = chooser
        self._metrics = metrics
        self._clock = clock
        self._bucket_by_customer: dict[CustomerId, TokenBucket] = {}

    async def async_run(
        self, forwarded: ForwardedRequest
    ) -> web.StreamResponse | Failure:
        """Make attempts until a target responds or no further attempt is allowed.

        :param forwarded: The request.
        :return: The response, or the failure to report to the caller.
        :raises AnswerBrokenOffError: A response ended early, after a part of it had
            been sent to the caller.
        """
        parsed = forwarded.parsed
        bucket = self._bucket(parsed.contract)
        bucket.count_first_attempt()
        history = AttemptHistory()
        while True:
            match await self._async_choose(parsed, history.excluded, history.silent):
                case Result(tag="ok", ok=choice):
                    pass
                case Result(error=failure):
                    return failure if history.failure is None else history.failure
            history.attempts += 1
            result = await self._async_attempt_hedged(
                forwarded, choice, history, bucket
            )
            if not isinstance(result, AttemptFailure):
                return result
            last_failure = history.record(choice, result)
            if not self._allows_retry(
                forwarded, result, last_failure, history.attempts, bucket
            ):
                return last_failure

    async def _async_attempt_hedged(
        self,
        forwarded: ForwardedRequest,
        choice: Choice,
        history: AttemptHistory,
        bucket: TokenBucket,
    ) -> web.StreamResponse | AttemptFailure:
        """Make an attempt, and start a second one if its reused connection is silent.

        Either the connection is lost or the target is slow. The first response is used,
        and the other attempt is cancelled.
        """
        hedge: asyncio.Task[web.StreamResponse | AttemptFailure] | None = None

        def start_hedge(attempt: WatchedAttempt) -> None:
            nonlocal hedge
            reason = RetryReason.SILENT
            silent = AttemptFailure.from_reason(reason, send_started=True)
            failure = history.merge(silent.failure)
            if not self._allows_retry(
                forwarded, silent, failure, history.attempts, bucket
            ):
                return
            history.attempts += 1
            forwarded.needs_new_connection = True
            hedge = asyncio.create_task(
                self._async_run_hedge(forwarded, choice, attempt, history)
            )

        def cancel_hedge() -> None:
            if hedge is not None:
                hedge.cancel()

        may_hedge = history.attempts < MAX_ATTEMPTS
        may_hedge = may_hedge and bucket.has_token(self._clock.monotonic())
        try:
            result = await self._async_attempt(
                forwarded, choice, cancel_hedge, start_hedge if may_hedge else None
            )
            if hedge is None or not isinstance(result, AttemptFailure):
                return result
            history.record(choice, result)
            return await hedge
        finally:
            if hedge is not None and not hedge.done():
                hedge.cancel()
                await asyncio.gather(hedge, return_exceptions=True)

    async def _async_run_hedge(
        self,
        forwarded: ForwardedRequest,
        silent: Choice,
        attempt: WatchedAttempt,
        history: AttemptHistory,
    ) -> web.StreamResponse | AttemptFailure:
        """Make a second attempt while the connection of the first one is silent.

        :param forwarded: The request.
        :param silent: Choice of the first attempt; its target is chosen again, with a
            new connection, only if no other target is left.
        :param attempt: The first attempt.
        :param history: Attempts made so far.
        """
        excluded = history.excluded | {silent.target.id}
        silent_targets = history.silent | {silent.target.id}
        match await self._async_choose(forwarded.parsed, excluded, silent_targets):
            case Result(tag="ok", ok=choice):
                return await self._async_attempt(
                    forwarded,
                    choice,
                    lambda: self._attempt_runner.supersede(attempt),
                    None,
                )
            case _:
                # The silent attempt may hold the only permit. Its target may just be
                # slow, so the attempt is cancelled only shortly before the deadline,
                # when an attempt over a new connection still has time to succeed.
                history.attempts -= 1
                self._attempt_runner.supersede_near_deadline(attempt)
                return AttemptFailure.from_reason(RetryReason.SILENT, send_started=True)

    async def _async_choose(
        self, parsed: ParsedRequest, excluded: set[TargetId], silent: set[TargetId]
    ) -> Result[Choice, Failure]:
        """Choose a target; one whose connection was silent only if there is no other.

        Such a target may respond over a new connection: it may only have been slow, or
        the network may have dropped the old connection.
        """
        for _ in range(2):
            result = await self._chooser.async_choose(
                contract=parsed.contract,
                service=parsed.service.service,
                idempotent=parsed.idempotent,
                excluded=excluded,
                deadline=parsed.deadline,
            )
            if result.is_ok() or not silent:
                break
            excluded -= silent
            silent.clear()
        return result

    async def _async_attempt(
        self,
        forwarded: ForwardedRequest,
        choice: Choice,
        on_response: Callable[[], None],
        on_silence: Callable[[WatchedAttempt], None] | None,
    ) -> web.StreamResponse | AttemptFailure:
        try:
            return await self._attempt_runner.async_attempt(
                forwarded, choice, on_response=on_response, on_silence=on_silence
            )
        except AnswerBrokenOffError:
            self._metrics.count(METRIC_BROKEN_OFF, customer=forwarded.parsed.customer)
            break_off_response(forwarded.request)
            raise

    def _allows_retry(
        self,
        forwarded: ForwardedRequest,
        result: AttemptFailure,
        last_failure: Failure,
        attempts: int,
        bucket: TokenBucket,
    ) -> bool:
        now = self._clock.monotonic()
        customer = forwarded.parsed.customer
        failed = FailedAttempt(
            reason=result.reason,
            ran=last_failure.ran,
            attempts=attempts,
            body_consumed=forwarded.body.is_consumed,
        )
        given_up = give_up_reason(
            failed,
            idempotent=forwarded.parsed.idempotent,
            bucket=bucket,
            now=now,
            deadline=forwarded.parsed.deadline,
        )
        if given_up is None:
            self._metrics.count(
                METRIC_RETRIES, customer=customer, reason=result.reason.value
            )
            return True
        self._metrics.count(
            METRIC_GIVEN_UP,
            customer=customer,
            reason=result.reason.value,
            why=given_up.value,
        )
        return False

    def _bucket(self, contract: Contract) -> TokenBucket:
        bucket = self._bucket_by_customer.get(contract.customer)
        if bucket is None:
            bucket = TokenBucket(contract.retry, self._clock.monotonic())
            self._bucket_by_customer[contract.customer] = bucket
        elif bucket.budget is not contract.retry:
            bucket.set_budget(contract.retry)
        return bucket


def _merge_ran(earlier: Failure | None, failure: Failure) -> Failure:
    """Return the failure, with ``ran`` unknown if it was so for an earlier attempt."""
    if earlier is not None and earlier.ran is Ran.UNKNOWN:
        return replace(failure, ran=Ran.UNKNOWN)
    return failure
