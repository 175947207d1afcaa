"""Task around one node: its timer, its writes, its messages and what it applies."""

import asyncio
from collections.abc import Callable

from expression import Error

from mothshunt.consensus import codes, const
from mothshunt.consensus.applying import CommandApplier
from mothshunt.consensus.disk import DiskWriter
from mothshunt.consensus.log_events import RoleChanged, VotersChanged
from mothshunt.consensus.messages import NodeMessage
from mothshunt.consensus.node import Node
from mothshunt.consensus.state import NodeState, Outputs
from mothshunt.consensus.types import (
    Entry,
    NodeRole,
    Snapshot,
    WriteNumber,
)
from mothshunt.consensus.voters import Membership
from mothshunt.consensus.waiting import (
    Outcome,
    Proposal,
    settle,
)
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure, ResultCode
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId, LogIndex
from mothshunt.helpers import log
from mothshunt.helpers.log import get_logger
from mothshunt.metrics.registry import Metrics

_LOGGER = get_logger("consensus")


class NodeDriver:
    """Run one node.

    :param node: The node.
    :param writer: Its data folder.
    :param network: Streams to the other nodes.
    :param applier: What the log carries.
    :param clock: Source of the present time.
    :param metrics: Counters and histograms.
    :param on_failed: Called when the node can take no part any more.
    """

    def __init__(
        self,
        *,
        node: Node,
        writer: DiskWriter,
        network: PeerNetwork,
        applier: CommandApplier,
        clock: Clock,
        metrics: Metrics,
        on_failed: Callable[[Failure], None],
    ) -> None:
        self.node = node
        self.applier = applier
        self.membership = node.state.membership
        self.leader_known = asyncio.Event()
        self._writer = writer
        self._network = network
        self._clock = clock
        self._metrics = metrics
        self._on_failed = on_failed
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = 0.0
        self._watch: asyncio.TimerHandle | None = None
        self._proposals: list[Proposal] = []
        self._read_by_token: dict[int, asyncio.Future[LogIndex | None]] = {}
        self._new_reads: list[int] = []
        self._last_token = 0
        self._membership_listeners: list[Callable[[Membership], None]] = []
        self._is_stopped = False
        self._role = node.state.role

    @property
    def state(self) -> NodeState:
        """Return the state of the node, to be read only."""
        return self.node.state

    def start(self) -> None:
        """Restore the state from the snapshot and start the timer."""
        snapshot = self.state.snapshot
        if snapshot is not None:
            self.applier.restore(snapshot)
        self._arm()
        self._watch_leader()

    def stop(self) -> None:
        """Stop the timer and answer all who wait."""
        self._is_stopped = True
        self.node.resign(self.now())
        for timer in (self._timer, self._watch):
            if timer is not None:
                timer.cancel()
        self._reject_proposals(self._proposals, codes.STOPPED)
        self._proposals.clear()
        self.applier.proposals.give_up("the instance stopped")
        for read in self._read_by_token.values():
            settle(read, None)
        self._read_by_token.clear()

    def fail(self, failure: Failure) -> None:
        """Take no part any more.

        :param failure: Why.
        """
        _LOGGER.failure("the replicated log stops", failure)
        self.stop()
        self._on_failed(failure)

    def fail_unexpectedly(self, error: Exception) -> None:
        """Take no part any more after a fault of the code; its state is uncertain.

        :param error: The error.
        """
        detail = f"{type(error).__name__}: {error}"
        self.fail(Failure(code=codes.NODE_FAILED, detail=detail))

    def on_membership(self, listener: Callable[[Membership], None]) -> None:
        """Call a listener after the newest membership of the log changed."""
        self._membership_listeners.append(listener)

    def now(self) -> float:
        """Return the monotonic time, in seconds."""
        return self._clock.monotonic()

    def receive(self, peer: InstanceId, message: NodeMessage) -> None:
        """Take a message from another node.

        :param peer: Sender.
        :param message: The message.
        """
        if not self._is_stopped:
            self.perform(self.node.receive(peer, message, self.now()))

    def synced(self, number: WriteNumber) -> None:
        """Note that writes are synced.

        :param number: Number of the last of them.
        """
        self.perform(self.node.synced(number, self.now()))

    def propose(self, command: bytes) -> asyncio.Future[Outcome]:
        """Append a command together with all others of this turn of the event loop.

        :param command: The command.
        :return: Its outcome, once known.
        """
        loop = asyncio.get_running_loop()
        outcome: asyncio.Future[Outcome] = loop.create_future()
        if not self._proposals:
            loop.call_soon(self._append_proposals)
        self._proposals.append(Proposal(command=command, outcome=outcome))
        return outcome

    def _append_proposals(self) -> None:
        proposals = self._proposals
        self._proposals = []
        if self._is_stopped:
            self._reject_proposals(proposals, codes.STOPPED)
            return
        leading = self.state.leading
        if leading and leading.uncommitted_bytes > const.MAX_UNCOMMITTED_BYTES:
            self._reject_proposals(proposals, codes.OVERLOADED)
            return
        first = self.state.log.last_index + 1
        commands = [proposal.command for proposal in proposals]
        outputs = self.node.propose(commands, self.now())
        if outputs is None:
            self._reject_proposals(proposals, codes.NOT_LEADER)
            return
        for offset, proposal in enumerate(proposals):
            index = LogIndex(first + offset)
            self.applier.proposals.add(index, self.state.term, proposal.outcome)
        self.perform(outputs)

    def _reject_proposals(self, proposals: list[Proposal], code: ResultCode) -> None:
        failure = Failure(code=code, retry_after_s=const.RETRY_AFTER_S)
        for proposal in proposals:
            settle(proposal.outcome, Error(failure))

    def read(self) -> asyncio.Future[LogIndex | None]:
        """Ask for a commit index confirmed by a majority in a round begun from now.

        :return: The index; ``None`` when this node does not lead.
        """
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[LogIndex | None] = loop.create_future()
        if self._is_stopped:
            answer.set_result(None)
            return answer
        self._last_token += 1
        self._read_by_token[self._last_token] = answer
        if not self._new_reads:
            loop.call_soon(self._start_reads)
        self._new_reads.append(self._last_token)
        return answer

    def _start_reads(self) -> None:
        tokens = self._new_reads
        self._new_reads = []
        if not self._is_stopped:
            self.perform(self.node.read(tokens, self.now()))

    def perform(self, outputs: Outputs) -> None:
        """Do what the node decided.

        :param outputs: What is to be done.
        """
        if self._is_stopped:
            return
        if outputs.writes:
            self._writer.submit(outputs.writes, outputs.last_write)
        for outgoing in outputs.messages:
            self._network.post(outgoing.peer, outgoing.message)
        if outputs.applies and not self._apply(outputs.applies):
            return
        for answer in outputs.reads:
            read = self._read_by_token.pop(answer.token, None)
            if read is not None:
                settle(read, answer.index)
        self._note_changes()
        self._arm()
        self._compact_if_due()

    def _apply(self, applies: list[Entry | Snapshot]) -> bool:
        try:
            self.applier.apply(applies)
        # Whatever went wrong, going on would leave this replica unlike the others.
        except Exception as error:
            detail = f"{type(error).__name__}: {error}"
            self.fail(Failure(code=codes.APPLY_FAILED, detail=detail))
            return False
        self.applier.tell_listeners()
        return True

    def _compact_if_due(self) -> None:
        if self.applier.is_snapshot_due():
            data = self.applier.take_snapshot()
            index = self.applier.applied_index
            self.perform(self.node.compact(index, data, self.now()))

    def _note_changes(self) -> None:
        state = self.state
        if state.leader is None:
            self.leader_known.clear()
        else:
            self.leader_known.set()
        if state.role is not self._role:
            self._role = state.role
            self._metrics.count(
                "mothshunt_consensus_role_changes_total", role=state.role.value
            )
            if state.role is not NodeRole.PRE_CANDIDATE:
                log.write(
                    RoleChanged(
                        role=state.role.value, term=state.term, leader=state.leader
                    )
                )
        if state.membership is self.membership:
            return
        self.membership = state.membership
        log.write(
            VotersChanged(
                voters=tuple(member.id for member in self.membership.voters),
                learners=tuple(member.id for member in self.membership.learners),
            )
        )
        for listener in self._membership_listeners:
            listener(self.membership)

    def _arm(self) -> None:
        """Set the timer; one that is early is left, as messages mostly put it off."""
        if self._is_stopped:
            return
        due_at = self.node.due_at()
        if self._timer is not None and self._timer_due_at <= due_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        wait_s = max(0.0, due_at - self.now())
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._tick)
        self._timer_due_at = due_at

    def _tick(self) -> None:
        self._timer = None
        if self._is_stopped:
            return
        try:
            if self.now() < self.node.due_at():
                self._arm()
                return
            self.perform(self.node.tick(self.now()))
        # Without its timer the node would neither vote nor lead again.
        except Exception as error:
            self.fail_unexpectedly(error)

    def _watch_leader(self) -> None:
        """Notice that the stream to the leader closed, as when its process ended."""
        if self._is_stopped:
            return
        loop = asyncio.get_running_loop()
        self._watch = loop.call_later(const.LEADER_CHECK_S, self._watch_leader)
        leader = self.state.leader
        if leader is None or leader == self.state.id:
            return
        if leader not in self._network.connected():
            self._metrics.count("mothshunt_consensus_leader_streams_lost_total")
            self.perform(self.node.leader_lost(self.now()))
