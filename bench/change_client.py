"""Changes of contracts over HTTP, for measurements."""

import asyncio
import itertools
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp

from testkit.admin_client import new_change_id
from testkit.contracts import contract_document
from testkit.deployment import BOOTSTRAP_TOKEN, Instance

STATUS_OK = 200
REQUEST_TIMEOUT_S = 6.0
CHANGE_TIMEOUT_MS = 2_000
RETRY_PAUSE_S = 0.02
POLL_S = 0.002
OUTCOME_TIMEOUT_S = 30.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeTime:
    """Hold when one change was sent, accepted and in force, in monotonic seconds.

    :param revision: Revision at which it was accepted.
    :param sent_at: First attempt.
    :param accepted_at: Answer that it was accepted.
    """

    revision: int
    sent_at: float
    accepted_at: float


class ChangeClient:
    """Make changes at some control instances, and watch where they are in force.

    :param session: HTTP client.
    :param control: Control instances; the next one is asked after a failure.
    """

    def __init__(
        self, session: aiohttp.ClientSession, control: Sequence[Instance]
    ) -> None:
        self._session = session
        self._urls = [item.admin_url for item in control]
        self._turn = itertools.count()
        self._revision_by_customer: dict[str, int] = {}
        self.attempts = 0

    async def async_change(self, customer: str, marker: float) -> ChangeTime:
        """Change one customer's contract; send it again until it is accepted.

        :param customer: Customer; its contract is made at the first change.
        :param marker: What the change writes.
        """
        document = contract_document("rackhaven")
        document["customer"] = customer
        document["retry"]["minimum_per_s"] = marker
        query = {
            "change_id": new_change_id(),
            "base_revision": self._revision_by_customer.get(customer, 0),
            "timeout_ms": CHANGE_TIMEOUT_MS,
        }
        sent_at = time.monotonic()
        turn = next(self._turn)
        while time.monotonic() - sent_at < OUTCOME_TIMEOUT_S:
            url = self._urls[turn % len(self._urls)]
            status, answer = await self._async_put(url, customer, document, query)
            self.attempts += 1
            if status == STATUS_OK:
                revision = int(answer["revision"])
                self._revision_by_customer[customer] = revision
                return ChangeTime(
                    revision=revision, sent_at=sent_at, accepted_at=time.monotonic()
                )
            turn += 1
            await asyncio.sleep(RETRY_PAUSE_S)
        raise TimeoutError(f"{query['change_id']} has no outcome")

    async def async_in_force_at(
        self, revision: int, instances: Sequence[Instance]
    ) -> float:
        """Return the time at which a revision was seen in force at all instances.

        :param revision: The revision.
        :param instances: The instances.
        """
        times = await asyncio.gather(
            *(self._async_seen_at(item, revision) for item in instances)
        )
        return max(times)

    async def _async_put(
        self, url: str, customer: str, document: Any, query: dict[str, Any]
    ) -> tuple[int, Any]:
        try:
            async with self._session.put(
                f"{url}/v1/contracts/{customer}",
                json=document,
                params=query,
                headers={"Authorization": f"Bearer {BOOTSTRAP_TOKEN}"},
                timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
            ) as response:
                return response.status, await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, {}

    async def _async_seen_at(self, instance: Instance, revision: int) -> float:
        end_at = time.monotonic() + OUTCOME_TIMEOUT_S
        while time.monotonic() < end_at:
            try:
                async with self._session.get(
                    f"{instance.admin_url}/readyz"
                ) as response:
                    document = await response.json()
            except (aiohttp.ClientError, OSError):
                document = {"revision": -1}
            if document["revision"] >= revision:
                return time.monotonic()
            await asyncio.sleep(POLL_S)
        raise TimeoutError(f"{revision} is not in force at {instance.id}")
