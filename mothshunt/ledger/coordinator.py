"""Coordinator of the ledger on a control instance."""

import asyncio

from expression import Result

from mothshunt.consensus.model import ReplicatedLog
from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId
from mothshunt.helpers.log import get_logger
from mothshunt.ledger.applier import LedgerApplier
from mothshunt.ledger.const import COMMAND_TIMEOUT_S, METRIC_KEYS, SWEEP_INTERVAL_S
from mothshunt.ledger.messages import Claim, Record, Release, Undecided
from mothshunt.ledger.sweep import Sweeper
from mothshunt.metrics.registry import Metrics
from mothshunt.util import wire

LEADER = "leader"

_LOGGER = get_logger("ledger")


class LedgerCoordinator:
    """Coordinator that proposes ledger commands to the replicated log.

    It proposes the commands of entry instances, and while its instance is the leader,
    the commands that mark lapsed claims and remove expired keys.

    :param network: Network on which entry instances send commands.
    :param log: The replicated log.
    :param applier: Applier of the ledger; the one that ``log`` applies commands to.
    :param metrics: Metrics of the process.
    :param clock: Source of the current time.
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
        """Register the handlers of commands and start the periodic sweep."""
        for cls in (Claim, Record, Release):
            self._network.on_request(cls, self._async_propose)
        self._metrics.gauge(METRIC_KEYS, self._key_count)
        self._task = asyncio.create_task(self._async_sweep_forever())

    async def async_stop(self) -> None:
        """Stop the periodic sweep; may be called more than once."""
        task, self._task = self._task, None
        if task is None:
            return
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def _async_propose(self, sender: InstanceId, command: object) -> object:
        result = await self._log.async_propose(wire.pack(command), COMMAND_TIMEOUT_S)
        match result.bind(wire.unpack):
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
                _LOGGER.error(
                    "check for lapsed claims and expired keys failed", error=repr(error)
                )

    async def async_sweep(self) -> None:
        """Propose commands for lapsed claims and expired keys, if this is the leader.

        Every control instance tracks the ages, so that a new leader knows them.
        """
        now = self._clock.monotonic()
        status = self._log.status()
        state = self._applier.state
        is_leader = status.state == LEADER
        lapse = self._sweeper.lapse_command(state.open_claim_by_key.items(), now)
        near_limit = state.customers_near_limit() if is_leader else ()
        expirations = self._sweeper.expire_commands(
            status.applied_index, near_limit, now
        )
        if not is_leader:
            return
        for command in (lapse, *expirations):
            if command is not None:
                await self._log.async_propose(wire.pack(command), COMMAND_TIMEOUT_S)

    def _key_count(self) -> float:
        return len(self._applier.state.info_by_key)
