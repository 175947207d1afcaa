"""The ledger on a control instance."""

import asyncio

from expression import Result

from mothshunt.consensus.model import ReplicatedLog
from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId
from mothshunt.helpers.log import get_logger
from mothshunt.ledger.applier import LedgerApplier
from mothshunt.ledger.const import ASK_TIMEOUT_S, METRIC_KEYS, SWEEP_INTERVAL_S
from mothshunt.ledger.messages import Claim, Record, Release, Undecided
from mothshunt.ledger.sweep import Sweeper
from mothshunt.metrics.registry import Metrics
from mothshunt.util import wire

LEADER = "leader"

_LOGGER = get_logger("ledger")


class LedgerCoordinator:
    """Propose the commands of entry instances, and sweep while this one leads.

    :param network: Carries the commands of entry instances.
    :param log: The replicated log.
    :param applier: The state that the log carries; the same object that it applies to.
    :param metrics: Metrics of the process.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        *,
        network: PeerNetwork,
        log: ReplicatedLog,
        applier: LedgerApplier,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._network = network
        self._log = log
        self._applier = applier
        self._metrics = metrics
        self._clock = clock
        self._sweeper = Sweeper()
        self._task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Answer entry instances and begin to sweep."""
        for cls in (Claim, Record, Release):
            self._network.on_request(cls, self._async_propose)
        self._metrics.gauge(METRIC_KEYS, self._keys)
        self._task = asyncio.create_task(self._async_sweep_forever())

    async def async_stop(self) -> None:
        """Stop sweeping; may be called twice."""
        task, self._task = self._task, None
        if task is None:
            return
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def _async_propose(self, sender: InstanceId, command: object) -> object:
        proposed = await self._log.async_propose(wire.pack(command), ASK_TIMEOUT_S)
        match proposed.bind(wire.unpack):
            case Result(tag="ok", ok=outcome):
                return outcome
            case Result(error=failure):
                return Undecided(ran=failure.ran, detail=failure.detail)

    async def _async_sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            try:
                await self.async_sweep()
            except Exception as error:
                _LOGGER.error("a sweep of the ledger failed", error=repr(error))

    async def async_sweep(self) -> None:
        """Look once for claims that lapsed and keys that expired.

        Ages are followed on every control instance; only the leader proposes.
        """
        now = self._clock.monotonic()
        status = self._log.status()
        state = self._applier.state
        leads = status.state == LEADER
        lapsed = self._sweeper.lapsed(state.claimed_by_key.items(), now)
        crowded = state.crowded() if leads else ()
        commands = self._sweeper.expired(status.applied_index, crowded, now)
        if not leads:
            return
        for command in (lapsed, *commands):
            if command is not None:
                await self._log.async_propose(wire.pack(command), ASK_TIMEOUT_S)

    def _keys(self) -> float:
        return len(self._applier.state.entry_by_key)
