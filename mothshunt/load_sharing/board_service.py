"""Forwarding of the loads of targets at one control instance."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.load_sharing import const
from mothshunt.load_sharing.messages import LoadsObserved
from mothshunt.load_sharing.state import LoadBoard


@dataclass(slots=True, eq=False)
class LoadBoardService:
    """Forwarding of what entry instances learned of targets to the other ones.

    It is done as far as entry instances tell anything, so it needs no setting.

    :param network: Streams to the entry instances.
    :param entries: Returns the entry instances that get each change at once.
    :param clock: Source of the present time.
    :param board: Newest loads, and the demand by target.
    """

    network: PeerNetwork
    entries: Callable[[], Iterable[InstanceId]]
    clock: Clock
    board: LoadBoard = field(default_factory=LoadBoard)
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Receive from entry instances, and start to forward."""
        self.network.on_message(LoadsObserved, self._on_observed)
        self._task = start_background("load-board", self._async_run)

    async def async_stop(self) -> None:
        """Stop to forward."""
        await async_cancel(self._task)

    def _on_observed(self, peer: InstanceId, observed: LoadsObserved) -> None:
        self.board.record(observed, self.clock.monotonic())

    def forward(self) -> None:
        """Send the news since the last call, if there is any."""
        news = self.board.take_news(self.clock.monotonic())
        if news is not None:
            self.network.post_all(self.entries(), news)

    async def _async_run(self) -> None:
        while True:
            await asyncio.sleep(const.SHARE_INTERVAL_S)
            self.forward()
