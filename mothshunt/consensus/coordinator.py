"""The replicated log of a control instance: node, data folder and peers together."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from random import Random

from expression import Error, Result

from mothshunt.consensus import codes, const, diagnostics
from mothshunt.consensus.addresses import VoterAddresses
from mothshunt.consensus.applying import CommandApplier
from mothshunt.consensus.client import LogClient, stopped
from mothshunt.consensus.config import ConsensusConfig
from mothshunt.consensus.disk import DiskWriter
from mothshunt.consensus.driver import NodeDriver
from mothshunt.consensus.founder import Founder
from mothshunt.consensus.introduction import Introduction
from mothshunt.consensus.leader_service import LeaderService
from mothshunt.consensus.messages import (
    AddVoter,
    Append,
    AppendAnswer,
    Founded,
    FoundingAccept,
    FoundingAnswer,
    FoundingPrepare,
    Heartbeat,
    HeartbeatAnswer,
    Hello,
    HelloAnswer,
    Propose,
    Read,
    Rejoin,
    RemoveVoter,
    SnapshotAnswer,
    SnapshotChunk,
    TimeoutNow,
    VoteAnswer,
    VoteRequest,
)
from mothshunt.consensus.model import ConsensusStatus, Voter
from mothshunt.consensus.node import Node
from mothshunt.consensus.state import NodeState
from mothshunt.consensus.storage import Storage
from mothshunt.consensus.types import NodeRole
from mothshunt.consensus.voters import Member
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure, MothshuntError
from mothshunt.core.network import PeerNetwork
from mothshunt.core.state_machine import StateMachine
from mothshunt.core.types import InstanceId, LogIndex, Term
from mothshunt.helpers.log import get_logger
from mothshunt.helpers.tasks import start_background
from mothshunt.metrics.registry import Metrics
from mothshunt.settings.config import Settings

_LOGGER = get_logger("consensus")

FOLDER_NAME = "consensus"
NODE_MESSAGES = (
    VoteRequest,
    VoteAnswer,
    Append,
    AppendAnswer,
    Heartbeat,
    HeartbeatAnswer,
    SnapshotChunk,
    SnapshotAnswer,
    TimeoutNow,
)


class ConsensusCoordinator:
    """Implement ``ReplicatedLog`` on a control instance.

    :param own: This instance; its replica number is read from the data folder.
    :param initial: Initial voters, by the settings; none where the log was founded
        before this instance was there.
    :param contacts: Control instances that may be asked what they know.
    :param folder: Data folder of the replicated log.
    :param config: Timing and sizes.
    :param network: Streams to the other instances.
    :param state_machine: State that the log carries.
    :param clock: Source of the present time.
    :param metrics: Counters and histograms.
    :param random: Source of election timeouts and jitter.
    """

    def __init__(
        self,
        *,
        own: Voter,
        initial: tuple[Voter, ...],
        contacts: tuple[Voter, ...],
        folder: Path,
        config: ConsensusConfig,
        network: PeerNetwork,
        state_machine: StateMachine,
        clock: Clock,
        metrics: Metrics,
        random: Random,
    ) -> None:
        self._own = own
        self._initial = initial
        self._contacts = contacts
        self._config = config
        self._network = network
        self._applier = CommandApplier(
            state_machine=state_machine, config=config, metrics=metrics
        )
        self._clock = clock
        self._metrics = metrics
        self._random = random
        storage = Storage(folder, own.id, config.segment_bytes)
        self._writer = DiskWriter(storage=storage, clock=clock, metrics=metrics)
        self._driver: NodeDriver | None = None
        self._client: LogClient | None = None
        self._introduction: Introduction | None = None
        self._founder: Founder | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._writer_task: asyncio.Task[None] | None = None
        self._stopping: asyncio.Task[None] | None = None
        self._fatal_listeners: list[Callable[[Failure], None]] = []
        self._addresses = VoterAddresses(contacts)

    @classmethod
    def from_config(
        cls,
        *,
        settings: Settings,
        network: PeerNetwork,
        state_machine: StateMachine,
        clock: Clock,
        metrics: Metrics,
        config: ConsensusConfig | None = None,
        random: Random | None = None,
        may_found: bool = True,
    ) -> "ConsensusCoordinator":
        """Build the replicated log of a control instance.

        :param settings: Settings of the instance; they name a data folder.
        :param network: Streams to the other instances.
        :param state_machine: State that the log carries.
        :param clock: Source of the present time.
        :param metrics: Counters and histograms.
        :param config: Timing and sizes.
        :param random: Source of election timeouts and jitter.
        :param may_found: Whether a log may be founded with the control instances of
            the settings.
        """
        if settings.data_folder is None:
            raise ValueError("a control instance needs a data folder")
        peer = settings.listen.peer
        contacts = tuple(
            Voter(id=c.id, host=c.host, port=c.port) for c in settings.control
        )
        return cls(
            own=Voter(id=settings.instance.id, host=peer.host, port=peer.port),
            initial=contacts if may_found else (),
            contacts=contacts,
            folder=Path(settings.data_folder) / FOLDER_NAME,
            config=config or ConsensusConfig(),
            network=network,
            state_machine=state_machine,
            clock=clock,
            metrics=metrics,
            random=random or Random(),
        )

    async def async_start(self) -> None:
        """Read the data folder and take part.

        :raises MothshuntError: With codes 4020 to 4023 for the data folder.
        """
        durable = await self._writer.async_open()
        state = NodeState.from_durable(
            durable,
            instance=self._own.id,
            config=self._config,
            random=self._random,
            now=self._clock.monotonic(),
        )
        driver = NodeDriver(
            node=Node(state),
            writer=self._writer,
            network=self._network,
            applier=self._applier,
            clock=self._clock,
            metrics=self._metrics,
            on_failed=self._on_failed,
        )
        own = Member(
            id=self._own.id,
            host=self._own.host,
            port=self._own.port,
            replica=durable.replica,
        )
        self._driver = driver
        service = LeaderService(
            driver=driver,
            network=self._network,
            own=own,
            announce=self._addresses.announce,
        )
        self._client = LogClient(
            driver=driver,
            service=service,
            network=self._network,
            clock=self._clock,
            metrics=self._metrics,
        )
        if self._config.is_founded_by_majority:
            self._founder = await self._async_make_founder(own)
        self._introduction = Introduction(
            own=own,
            driver=driver,
            network=self._network,
            founder=self._founder,
            initial=[voter.id for voter in self._initial],
            contacts=[voter.id for voter in self._contacts],
            may_join=self._config.is_self_managed,
            on_membership=self._addresses.add,
            random=self._random,
        )
        driver.on_membership(self._addresses.follow)
        self._addresses.follow(driver.membership)
        self._register(driver, service)
        diagnostics.register_gauges(driver, self._metrics)
        self._writer_task = asyncio.create_task(self._async_write(driver))
        driver.start()
        introduction = self._introduction
        self._tasks = [
            start_background("consensus-introduction", introduction.async_run)
        ]
        if self._config.is_self_managed:
            self._tasks.append(
                start_background("consensus-members", service.async_keep_members)
            )

    async def _async_make_founder(self, own: Member) -> Founder:
        founder = Founder(
            own=own,
            record=await self._writer.async_read_founding(),
            writer=self._writer,
            network=self._network,
        )
        await founder.async_begin([voter.id for voter in self._initial])
        return founder

    def _register(self, driver: NodeDriver, service: LeaderService) -> None:
        network = self._network
        for cls in NODE_MESSAGES:
            network.on_message(cls, driver.receive)
        network.on_request(Hello, self._async_on_hello)
        network.on_request(FoundingPrepare, self._async_on_founding)
        network.on_request(FoundingAccept, self._async_on_founding)
        network.on_message(Founded, self._on_founded)
        network.on_request(Propose, lambda _, request: service.async_propose(request))
        network.on_request(Read, lambda _, request: service.async_read(request))
        network.on_request(Rejoin, lambda _, request: service.async_rejoin(request))
        network.on_request(
            AddVoter, lambda _, request: service.async_add_voter(request)
        )
        network.on_request(
            RemoveVoter, lambda _, request: service.async_remove_voter(request)
        )

    async def _async_on_hello(self, peer: InstanceId, hello: Hello) -> HelloAnswer:
        if self._introduction is None:
            raise AssertionError("asked before the start")
        return self._introduction.answer()

    async def _async_on_founding(
        self, peer: InstanceId, request: FoundingPrepare | FoundingAccept
    ) -> FoundingAnswer:
        if self._founder is None or self._stopping is not None:
            raise AssertionError("asked to found a log while taking no part")
        return await self._founder.async_answer(request)

    def _on_founded(self, peer: InstanceId, founded: Founded) -> None:
        if self._introduction is not None and self._stopping is None:
            self._introduction.found(founded.membership)

    async def _async_write(self, driver: NodeDriver) -> None:
        try:
            await self._writer.async_run(driver.synced)
        except (OSError, MothshuntError) as error:
            driver.fail(Failure(code=codes.DISK_FAILED, detail=str(error)))
        # A node whose writes are never synced would go on as a member that answers
        # nothing.
        except Exception as error:
            driver.fail_unexpectedly(error)

    def _on_failed(self, failure: Failure) -> None:
        self._metrics.count(
            "mothshunt_consensus_failures_total", reason=failure.code.name
        )
        for listener in self._fatal_listeners:
            listener(failure)

    async def async_stop(self) -> None:
        """Hand leadership over, sync what is queued, and stop. May be called twice."""
        if self._stopping is None:
            self._stopping = asyncio.create_task(self._async_stop())
        await asyncio.shield(self._stopping)

    async def _async_stop(self) -> None:
        driver = self._driver
        if driver is None:
            await self._writer.async_close()
            return
        await self._async_hand_over(driver)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        driver.stop()
        self._writer.finish()
        if self._writer_task is not None:
            await self._writer_task
        await self._writer.async_close()

    async def _async_hand_over(self, driver: NodeDriver) -> None:
        if driver.state.role is not NodeRole.LEADER:
            return
        driver.perform(driver.node.transfer(driver.now()))
        until = driver.now() + const.TRANSFER_TIMEOUT_S
        while driver.now() < until:
            leading = driver.state.leading
            if leading is None or not leading.transfer_to:
                return
            await asyncio.sleep(const.RETRY_PAUSE_S)

    async def async_propose(
        self, command: bytes, timeout_s: float
    ) -> Result[bytes, Failure]:
        """Have a command committed and applied, see ``ReplicatedLog``."""
        if self._client is None or self._stopping is not None:
            return Error(stopped())
        return await self._client.async_propose(command, timeout_s)

    async def async_read_barrier(self, timeout_s: float) -> Result[LogIndex, Failure]:
        """Wait until the state here holds all committed so far."""
        if self._client is None or self._stopping is not None:
            return Error(stopped())
        return await self._client.async_read_barrier(timeout_s)

    async def async_confirm_leadership(self, timeout_s: float) -> Result[Term, Failure]:
        """Confirm, in a round begun after the call, that this instance leads."""
        if self._client is None or self._stopping is not None:
            return Error(stopped())
        return await self._client.async_confirm_leadership(timeout_s)

    async def async_add_voter(
        self, voter: Voter, timeout_s: float
    ) -> Result[LogIndex, Failure]:
        """Add one voter, which first catches up as a learner."""
        if self._client is None or self._stopping is not None:
            return Error(stopped())
        return await self._client.async_add_voter(voter, timeout_s)

    async def async_remove_voter(
        self, voter: InstanceId, timeout_s: float
    ) -> Result[LogIndex, Failure]:
        """Remove one voter."""
        if self._client is None or self._stopping is not None:
            return Error(stopped())
        return await self._client.async_remove_voter(voter, timeout_s)

    def status(self) -> ConsensusStatus:
        """Return the state of the replicated log as seen here."""
        return diagnostics.status(self._driver)

    def on_applied(self, listener: Callable[[LogIndex], None]) -> None:
        """Call a listener after commands were applied here."""
        self._applier.on_applied(listener)

    def on_voters_changed(self, listener: Callable[[tuple[Voter, ...]], None]) -> None:
        """Call a listener now and whenever other control instances are to be reached.

        :param listener: Called with voters, learners and instances about to become so.
        """
        self._addresses.on_changed(listener)

    def on_fatal(self, listener: Callable[[Failure], None]) -> None:
        """Call a listener when the log can take no part any more.

        :param listener: Called with the failure; the process should end.
        """
        self._fatal_listeners.append(listener)
