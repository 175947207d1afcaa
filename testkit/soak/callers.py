"""Callers that keep their connections and follow the look-ups."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from random import Random

import aiohttp

from mothshunt.core.const import HEADER_DEADLINE_MS, HEADER_REQUEST_ID
from testkit.soak.history import NOT_RUN_STATUS, History, Sent

HOST_NAME = "shop.example"
#: Part of the requests that may run once at most.
ORDER_PART = 0.5
OBJECTS = 40
DEADLINE_MS = 2000
#: Longest wait for an answer, in seconds: the deadline and room for a busy machine.
ANSWER_TIMEOUT_S = 6.0
#: Time between two requests of a caller, in seconds.
PACE_S = 0.02
#: Time for which a caller keeps a look-up, in seconds.
LOOKUP_KEPT_S = 1.0
#: Pause after a request that could not be sent, in seconds.
FAILED_PAUSE_S = 0.05


@dataclass(slots=True, eq=False)
class Caller:
    """Send requests one after the other, on connections that are kept.

    :param name: Name, for the ids of the requests.
    :param history: Where each request is noted.
    :param now: Returns the time of the soak, in seconds.
    :param look_up: Returns the addresses of entry instances; none without an answer.
    :param entry_by_address: Names of the entry instances.
    :param random: Source of what is asked for.
    """

    name: str
    history: History
    now: Callable[[], float]
    look_up: Callable[[], Awaitable[list[str]]]
    entry_by_address: Mapping[str, str]
    random: Random

    async def async_run(self, stop: asyncio.Event) -> None:
        """Send until told to stop.

        :param stop: Set when no more requests are wanted.
        """
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        addresses: list[str] = []
        looked_up_at = float("-inf")
        number = 0
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not stop.is_set():
                if self.now() - looked_up_at > LOOKUP_KEPT_S:
                    # Callers go on with what they know while no look-up is answered.
                    addresses = await self.look_up() or addresses
                    looked_up_at = self.now()
                if addresses:
                    number += 1
                    await self._async_send(
                        session, self.random.choice(addresses), number
                    )
                await asyncio.sleep(PACE_S)

    async def _async_send(
        self, session: aiohttp.ClientSession, address: str, number: int
    ) -> None:
        is_order = self.random.random() < ORDER_PART
        sent = Sent(
            id=f"{self.name}-{number}",
            is_order=is_order,
            entry=self.entry_by_address[address],
            sent_at=self.now(),
        )
        self.history.sent_by_id[sent.id] = sent
        path = "orders" if is_order else "stock"
        url = f"http://{address}/{path}/{self.random.randrange(OBJECTS)}"
        headers = {
            "Host": HOST_NAME,
            HEADER_REQUEST_ID: sent.id,
            HEADER_DEADLINE_MS: str(DEADLINE_MS),
        }
        try:
            # A POST is never sent again by the library, unlike other methods.
            async with session.post(url, headers=headers) as answer:
                sent.body = await answer.text()
                sent.status = answer.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            # No complete answer: the history judges it.
            sent.status = 0
        sent.ended_at = self.now()
        if sent.status in (0, NOT_RUN_STATUS):
            await asyncio.sleep(FAILED_PAUSE_S)
