"""Targets that name a rate limit, and callers that send at a steady rate."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

import aiohttp
from aiohttp import web

from mothshunt.core.const import HEADER_DEADLINE_MS, HEADER_REQUEST_ID
from testkit.rate_limits import RateLimitHistory
from testkit.routed_deployment import CALLERS_HOST, EXPECTED_TARGET, Target
from testkit.soak.history import Sent
from testkit.soak.notices import Life

OBJECTS = 400
DEADLINE_MS = 2000
ANSWER_TIMEOUT_S = 5.0


@dataclass
class LimitedTarget(Target):
    """Target that names a rate limit as long as the test sets one.

    :param limits: Limits that targets name, and the requests that come.
    """

    limits: RateLimitHistory = field(kw_only=True)

    @property
    def life(self) -> Life:
        """Return its name and incarnation."""
        return (self.name, 1)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a request, with the limit of the moment.

        :param request: The request.
        """
        request_id = request.headers.get(HEADER_REQUEST_ID, "")
        if request.headers.get(EXPECTED_TARGET) != self.name:
            return web.Response(status=421, headers={HEADER_REQUEST_ID: request_id})
        self.limits.record_arrival(self.life, request_id, time.monotonic())
        await asyncio.sleep(self.delay_s)
        headers = {
            HEADER_REQUEST_ID: request_id,
            **self.limits.response_headers(self.life, request_id),
        }
        return web.Response(text=self.name, headers=headers)


@dataclass(kw_only=True, slots=True, eq=False)
class SteadyCallers:
    """Callers that send reads at a steady rate over all entry instances.

    :param address_by_entry: Address of each entry instance.
    :param per_s: Requests a second.
    :param random: Source of the objects that are asked for.
    :param sent_by_id: Requests that were sent.
    :param retry_after_s: Retry times that refusals named, in seconds.
    """

    address_by_entry: dict[str, str]
    per_s: float
    random: Random
    sent_by_id: dict[str, Sent] = field(default_factory=dict)
    retry_after_s: list[float] = field(default_factory=list)

    async def async_run(self, seconds: float) -> None:
        """Send for some time, whether or not responses come.

        :param seconds: The time, in seconds.
        """
        entries: Sequence[str] = sorted(self.address_by_entry)
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as session:
            begun_at = time.monotonic()
            async with asyncio.TaskGroup() as group:
                for number in range(int(seconds * self.per_s)):
                    due_at = begun_at + number / self.per_s
                    await asyncio.sleep(max(0.0, due_at - time.monotonic()))
                    group.create_task(
                        self._async_send(session, self.random.choice(entries))
                    )

    async def _async_send(self, session: aiohttp.ClientSession, entry: str) -> None:
        number = len(self.sent_by_id)
        sent = Sent(
            id=f"steady-{number}",
            is_order=False,
            entry=entry,
            sent_at=time.monotonic(),
        )
        self.sent_by_id[sent.id] = sent
        object_number = self.random.randrange(OBJECTS)
        url = f"http://{self.address_by_entry[entry]}/stock/{object_number}"
        headers = {
            "Host": CALLERS_HOST,
            "Cookie": f"Mothshunt-Affinity={object_number}",
            HEADER_REQUEST_ID: sent.id,
            HEADER_DEADLINE_MS: str(DEADLINE_MS),
        }
        try:
            async with session.get(url, headers=headers) as answer:
                sent.body = await answer.text()
                sent.status = answer.status
                if answer.status != 200 and "Retry-After" in answer.headers:
                    self.retry_after_s.append(float(answer.headers["Retry-After"]))
        except (aiohttp.ClientError, TimeoutError, OSError):
            # No complete answer: the test judges the status.
            sent.status = 0
        sent.ended_at = time.monotonic()
