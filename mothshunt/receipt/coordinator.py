"""Receipt of calls at an HTTP server."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web

from mothshunt.core.clock import Clock
from mothshunt.core.types import Revision
from mothshunt.helpers import log, transports
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.receipt import const
from mothshunt.receipt.log_events import ProcessSuspended
from mothshunt.receipt.model import Receipt
from mothshunt.receipt.state import SuspensionWatch


@dataclass(slots=True, eq=False)
class CallReceiver:
    """Receiver of calls, which watches the process for suspensions.

    :param clock: Source of the current time.
    :param revision: Returns the revision of the configuration here.
    """

    clock: Clock
    revision: Callable[[], Revision]
    _watch: SuspensionWatch = field(default_factory=SuspensionWatch)
    _watching: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Start to watch the event loop."""
        self._watching = start_background("suspensions", self._async_run)

    async def async_stop(self) -> None:
        """Stop the watch."""
        await async_cancel(self._watching)

    def receive(self, request: web.BaseRequest) -> Receipt:
        """Return the receipt of a call that has just been read.

        :param request: The call.
        """

        def has_caller_left() -> bool:
            transport = request.transport
            return transport is None or transports.is_closed_by_peer(transport)

        return Receipt(
            revision=self.revision(),
            longest_wait_s=self._watch.longest_wait_s(self.clock.monotonic()),
            has_caller_left=has_caller_left,
        )

    async def _async_run(self) -> None:
        while True:
            suspension = self._watch.observe(self.clock.monotonic())
            if suspension is not None:
                suspended_s = suspension.ended_at - suspension.began_at
                log.write(ProcessSuspended(suspended_s=round(suspended_s, 3)))
            await asyncio.sleep(const.WATCH_INTERVAL_S)
