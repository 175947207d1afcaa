"""Attempts at one request until one gives an answer or none is allowed."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from aiohttp import web
from expression import Result

from mothshunt.contract.model import Contract
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.types import CustomerId, Ran, TargetId
from mothshunt.dispatch.attempt import Attempter, Exchange
from mothshunt.dispatch.attempt_failure import AttemptFailure
from mothshunt.dispatch.const import (
    MAX_ATTEMPTS,
    METRIC_BROKEN,
    METRIC_GIVEN_UP,
    METRIC_RETRIES,
)
from mothshunt.dispatch.model import AsyncTargetChooser
from mothshunt.dispatch.relay import AnswerBrokenOffError
from mothshunt.dispatch.request import Route
from mothshunt.dispatch.retry import (
    FailedAttempt,
    RetryReason,
    TokenBucket,
    give_up_reason,
)
from mothshunt.dispatch.watch import Handover
from mothshunt.metrics.registry import Metrics
from mothshunt.steering.model import Choice


@dataclass(kw_only=True, slots=True)
class Tries:
    """Remember the attempts at one request.

    :param number: Attempts begun.
    :param excluded: Targets that are not to be tried again.
    :param silent: Those of them whose connection was silent.
    :param last: What the caller is told when no further attempt is made.
    """

    number: int = 0
    excluded: set[TargetId] = field(default_factory=set)
    silent: set[TargetId] = field(default_factory=set)
    last: Failure | None = None

    def worst(self, failure: Failure) -> Failure:
        """Return a failure that keeps in mind whether the request may have run.

        :param failure: The newest failure.
        """
        return _worse(self.last, failure)

    def note(self, choice: Choice, result: AttemptFailure) -> Failure:
        """Take the end of an attempt and return what the caller would be told.

        :param choice: The target.
        :param result: How the attempt failed.
        """
        self.excluded.add(choice.target.id)
        if result.reason is RetryReason.SILENT:
            self.silent.add(choice.target.id)
        self.last = self.worst(result.failure)
        return self.last


class Retrier:
    """Choose targets for a request and make attempts at them.

    :param attempter: Makes one attempt.
    :param chooser: Chooses targets.
    :param metrics: Metrics of the process.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        *,
        attempter: Attempter,
        chooser: AsyncTargetChooser,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._attempter = attempter
        self._chooser = chooser
        self._metrics = metrics
        self._clock = clock
        self._bucket_by_customer: dict[CustomerId, TokenBucket] = {}

    async def async_run(self, exchange: Exchange) -> web.StreamResponse | Failure:
        """Try targets until one answers or no further attempt is allowed.

        :param exchange: The request.
        :return: The answer, or why there is none.
        :raises AnswerBrokenOffError: A part of an answer had been passed on.
        """
        route = exchange.route
        bucket = self._bucket(route.contract)
        bucket.count_first_attempt()
        tries = Tries()
        while True:
            match await self._async_choose(route, tries.excluded, tries.silent):
                case Result(tag="ok", ok=choice):
                    pass
                case Result(error=failure):
                    return failure if tries.last is None else tries.last
            tries.number += 1
            result = await self._async_hedged(exchange, choice, tries, bucket)
            if not isinstance(result, AttemptFailure):
                return result
            last = tries.note(choice, result)
            if not self._allows_retry(exchange, result, last, tries.number, bucket):
                return last

    async def _async_hedged(
        self, exchange: Exchange, choice: Choice, tries: Tries, bucket: TokenBucket
    ) -> web.StreamResponse | AttemptFailure:
        """Make an attempt, and another beside it while its connection stays silent.

        The silence of a kept-alive connection may be a lost connection or a slow
        answer. The first answer of the two counts and ends the other attempt.
        """
        hedge: asyncio.Task[web.StreamResponse | AttemptFailure] | None = None

        def start_hedge(handover: Handover) -> None:
            nonlocal hedge
            reason = RetryReason.SILENT
            silent = AttemptFailure.from_reason(reason, handed_over=True)
            failure = tries.worst(silent.failure)
            if not self._allows_retry(exchange, silent, failure, tries.number, bucket):
                return
            tries.number += 1
            exchange.met_silence = True
            hedge = asyncio.create_task(
                self._async_hedge(exchange, choice, handover, tries)
            )

        def end_hedge() -> None:
            if hedge is not None:
                hedge.cancel()

        may_hedge = tries.number < MAX_ATTEMPTS
        may_hedge = may_hedge and bucket.has_one(self._clock.monotonic())
        try:
            result = await self._async_attempt(
                exchange, choice, end_hedge, start_hedge if may_hedge else None
            )
            if hedge is None or not isinstance(result, AttemptFailure):
                return result
            tries.note(choice, result)
            return await hedge
        finally:
            if hedge is not None and not hedge.done():
                hedge.cancel()
                await asyncio.gather(hedge, return_exceptions=True)

    async def _async_hedge(
        self,
        exchange: Exchange,
        silent: Choice,
        handover: Handover,
        tries: Tries,
    ) -> web.StreamResponse | AttemptFailure:
        """Make an attempt beside one whose connection is silent.

        :param exchange: The request.
        :param silent: Target of the silent connection; chosen again, over a new
            connection, only where no other target is left.
        :param handover: The attempt whose connection is silent.
        :param tries: Attempts made so far.
        """
        excluded = tries.excluded | {silent.target.id}
        only_silent = tries.silent | {silent.target.id}
        match await self._async_choose(exchange.route, excluded, only_silent):
            case Result(tag="ok", ok=choice):
                return await self._async_attempt(
                    exchange,
                    choice,
                    lambda: self._attempter.supersede(handover),
                    None,
                )
            case _:
                # The silent attempt may hold the only room. It may be slow, so it is
                # given up for a new connection only when that takes the time left.
                tries.number -= 1
                self._attempter.supersede_late(handover)
                return AttemptFailure.from_reason(RetryReason.SILENT, handed_over=True)

    async def _async_choose(
        self, route: Route, excluded: set[TargetId], silent: set[TargetId]
    ) -> Result[Choice, Failure]:
        """Choose a target; one whose connection was silent only where no other is.

        It may answer over a new connection: it was slow, or the old one was lost
        track of on the way.
        """
        for _ in range(2):
            result = await self._chooser.async_choose(
                contract=route.contract,
                service=route.service.service,
                idempotent=route.idempotent,
                excluded=excluded,
                deadline=route.deadline,
            )
            if result.is_ok() or not silent:
                break
            excluded -= silent
            silent.clear()
        return result

    async def _async_attempt(
        self,
        exchange: Exchange,
        choice: Choice,
        on_answer: Callable[[], None],
        on_silence: Callable[[Handover], None] | None,
    ) -> web.StreamResponse | AttemptFailure:
        try:
            return await self._attempter.async_attempt(
                exchange, choice, on_answer=on_answer, on_silence=on_silence
            )
        except AnswerBrokenOffError:
            self._metrics.count(METRIC_BROKEN, customer=exchange.route.customer)
            transport = exchange.request.transport
            if transport is not None:
                transport.abort()
            raise

    def _allows_retry(
        self,
        exchange: Exchange,
        result: AttemptFailure,
        last: Failure,
        number: int,
        bucket: TokenBucket,
    ) -> bool:
        now = self._clock.monotonic()
        customer = exchange.route.customer
        failed = FailedAttempt(
            reason=result.reason,
            ran=last.ran,
            number=number,
            body_gone=exchange.body.gone,
        )
        given_up = give_up_reason(
            failed,
            idempotent=exchange.route.idempotent,
            bucket=bucket,
            now=now,
            deadline=exchange.route.deadline,
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


def _worse(last: Failure | None, failure: Failure) -> Failure:
    """Keep it in mind when an earlier attempt may have run the request."""
    if last is not None and last.ran is Ran.UNKNOWN:
        return replace(failure, ran=Ran.UNKNOWN)
    return failure
