"""Announcements of one stand-in target to the entries."""

import asyncio
import contextlib
import time
import zlib
from typing import Any, Protocol

import aiohttp

from mothshunt.core.const import PATH_ANNOUNCE, PATH_LEAVE
from testkit.target.behaviour import LoadLie
from testkit.target.config import Endpoint, TargetConfig

RETRY_INTERVAL_S = 0.25
REQUEST_TIMEOUT_S = 1.0
LEAVE_ROUNDS = 3


class LoadSource(Protocol):
    """Give what a target says of itself."""

    def announces(self) -> bool:
        """Tell whether announcements are sent now."""
        ...

    def load(self) -> LoadLie | None:
        """Return the load to report, or ``None`` for none."""
        ...


class Announcer:
    """Announce a target, renew in time and say when it leaves.

    :param config: The target.
    :param entries: Entry addresses; the next is tried when one fails.
    :param source: What the target says of itself.
    :param session: HTTP client.
    """

    def __init__(
        self,
        *,
        config: TargetConfig,
        entries: tuple[Endpoint, ...],
        source: LoadSource,
        session: aiohttp.ClientSession,
    ) -> None:
        self._config = config
        self._entries = entries
        self._source = source
        self._session = session
        self._entry_number = zlib.crc32(config.target.encode()) % len(entries)
        self._state = "serving"
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        # Orders starts of one target; a restart comes later on the wall clock.
        self.incarnation = time.time_ns() // 1_000_000
        self.acknowledged = 0

    def start(self) -> None:
        """Begin to announce."""
        self._task = asyncio.create_task(self._run())

    def say_leaving(self) -> None:
        """Announce from now on that the target is leaving."""
        self._state = "leaving"
        self._changed.set()

    async def async_leave(self) -> None:
        """Stop announcing and take the target off."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        body = {"target": self._config.target, "incarnation": self.incarnation}
        for _ in range(LEAVE_ROUNDS * len(self._entries)):
            if await self._post(PATH_LEAVE, body) is not None:
                return

    async def _run(self) -> None:
        while True:
            wait_s = await self._announce() if self._source.announces() else None
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s or RETRY_INTERVAL_S):
                    await self._changed.wait()
            self._changed.clear()

    async def _announce(self) -> float | None:
        answer = await self._post(PATH_ANNOUNCE, self._document())
        if answer is None:
            return None
        self.acknowledged += 1
        return float(answer["renew_after_ms"]) / 1000

    def _document(self) -> dict[str, Any]:
        config = self._config
        document: dict[str, Any] = {
            "target": config.target,
            "incarnation": self.incarnation,
            "customer": config.customer,
            "service": config.service,
            "host": config.announced.host,
            "port": config.announced.port,
            "region": config.region,
            "availability_zone": config.availability_zone,
            "slots": config.slots,
            "state": self._state,
        }
        load = self._source.load()
        if load is not None:
            document["load"] = {
                "in_flight": load.in_flight,
                "connections": load.connections,
                "age_ms": load.age_ms,
            }
        return document

    async def _post(self, path: str, body: dict[str, Any]) -> dict[str, Any] | None:
        entry = self._entries[self._entry_number % len(self._entries)]
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with self._session.post(
                entry.url + path, json=body, timeout=timeout
            ) as response:
                if response.status == 200:
                    return dict(await response.json())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            pass
        self._entry_number += 1
        return None
