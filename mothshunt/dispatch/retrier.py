"""Attempts at one request until one gives an answer or none is allowed."""

from dataclasses import replace

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
from mothshunt.metrics.registry import Metrics
from mothshunt.steering.model import Choice


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
        excluded: set[TargetId] = set()
        silent: set[TargetId] = set()
        last: Failure | None = None
        number = 0
        while True:
            match await self._async_choose(route, excluded, silent):
                case Result(tag="ok", ok=choice):
                    pass
                case Result(error=failure):
                    return failure if last is None else last
            number += 1
            may_retry = number < MAX_ATTEMPTS and bucket.has_one(
                self._clock.monotonic()
            )
            result = await self._async_attempt(exchange, choice, may_retry)
            if not isinstance(result, AttemptFailure):
                return result
            last = _worse(last, result.failure)
            excluded.add(choice.target.id)
            if result.reason is RetryReason.SILENT:
                silent.add(choice.target.id)
            if not self._allows_retry(exchange, result, last, number, bucket):
                return last

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
        self, exchange: Exchange, choice: Choice, may_retry: bool
    ) -> web.StreamResponse | AttemptFailure:
        try:
            return await self._attempter.async_attempt(
                exchange, choice, may_retry=may_retry
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
