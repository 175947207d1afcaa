"""One node of the replicated log: a state machine without any input or output.

Each step takes an event and the present time, changes the state and returns what is
to be done. A message that depends on a write is held back until ``synced`` is told.
"""

from collections.abc import Sequence

from mothshunt.consensus import (
    changes,
    election,
    emit,
    reads,
    replication,
    snapshots,
    transfer,
)
from mothshunt.consensus.messages import (
    Append,
    AppendAnswer,
    Heartbeat,
    HeartbeatAnswer,
    NodeMessage,
    SnapshotAnswer,
    SnapshotChunk,
    TimeoutNow,
    VoteAnswer,
    VoteRequest,
)
from mothshunt.consensus.state import LeaderState, NodeState, Outputs, Progress
from mothshunt.consensus.types import Entry, EntryKind, NodeRole, WriteNumber
from mothshunt.consensus.voters import Member, Membership
from mothshunt.core.types import InstanceId, LogIndex

MEMBER_ANSWERS = (AppendAnswer, HeartbeatAnswer, SnapshotAnswer)
LEADER_MESSAGES = (Append, Heartbeat, SnapshotChunk)


class Node:
    """Decide for one node.

    :param state: Its state.
    """

    def __init__(self, state: NodeState) -> None:
        self.state = state

    def due_at(self) -> float:
        """Return the monotonic time at which ``tick`` is due, in seconds."""
        leading = self.state.leading
        if leading is None:
            return self.state.election_due
        return min(leading.heartbeat_due, leading.check_due)

    def tick(self, now: float) -> Outputs:
        """Do what time asks for.

        :param now: Monotonic time, in seconds.
        """
        state = self.state
        if state.leading is not None:
            self._tick_leader(state.leading, now)
        elif now >= state.election_due:
            election.start_pre_vote(state, now)
        return self._finish(now)

    def _tick_leader(self, leading: LeaderState, now: float) -> None:
        state = self.state
        if not election.has_quorum_contact(state, now):
            election.become_follower(state, state.term, None, now)
            return
        transfer.give_up_if_late(leading, now)
        # Reads put the next heartbeats off, so what is late has a time of its own.
        if now >= leading.check_due:
            leading.check_due = now + state.config.heartbeat_s
            for progress in tuple(leading.progress_by_replica.values()):
                replication.resend_if_late(state, progress, now)
        if now >= leading.heartbeat_due:
            reads.start_round(state, leading, now)

    def leader_lost(self, now: float) -> Outputs:
        """Expect no more from the leader, to which no stream leads any longer.

        Only the wait for its silence is cut short. The others still refuse a pre-vote
        while they hear it.

        :param now: Monotonic time, in seconds.
        """
        election.expect_no_leader(self.state, now)
        return self._finish(now)

    def receive(self, peer: InstanceId, message: NodeMessage, now: float) -> Outputs:
        """Take a message from another node.

        :param peer: Sender.
        :param message: The message.
        :param now: Monotonic time, in seconds.
        """
        if message.destination == self.state.replica:
            self._receive(peer, message, now)
        return self._finish(now)

    def _receive(self, peer: InstanceId, message: NodeMessage, now: float) -> None:
        state = self.state
        if isinstance(message, VoteRequest):
            election.on_vote_request(state, peer, message, now)
        elif isinstance(message, VoteAnswer):
            if election.on_vote_answer(state, message, now):
                self._lead(now)
        elif message.term < state.term:
            self._answer_outdated(peer, message)
        elif isinstance(message, LEADER_MESSAGES):
            self._on_leader_message(peer, message, now)
        elif isinstance(message, MEMBER_ANSWERS):
            self._on_member_answer(message, now)
        elif isinstance(message, TimeoutNow):
            self._on_timeout_now(message, now)

    def _on_timeout_now(self, message: TimeoutNow, now: float) -> None:
        state = self.state
        if message.term != state.term or state.leading is not None:
            return
        if state.is_voter:
            election.start_election(state, now, transfer=True)

    def _answer_outdated(self, peer: InstanceId, message: NodeMessage) -> None:
        """Let a leader of an earlier term know that its term is over."""
        if not isinstance(message, LEADER_MESSAGES):
            return
        state = self.state
        answer = HeartbeatAnswer(
            term=state.term,
            source=state.replica,
            destination=message.source,
            round=0,
        )
        emit.send(state, peer, answer)

    def _on_leader_message(
        self, peer: InstanceId, message: NodeMessage, now: float
    ) -> None:
        state = self.state
        if state.leading is not None and message.term == state.term:
            raise AssertionError("two leaders in one term")
        if message.term > state.term or state.leader != peer:
            election.become_follower(state, message.term, peer, now)
        state.role = NodeRole.FOLLOWER
        state.leader_heard_at = now
        state.lost_rounds = 0
        state.given_way_to.clear()
        state.reset_election(now)
        if isinstance(message, Append):
            replication.on_append(state, peer, message, now)
        elif isinstance(message, SnapshotChunk):
            snapshots.on_chunk(state, peer, message, now)
        elif isinstance(message, Heartbeat):
            replication.advance_commit(state, message.commit_index)
            answer = HeartbeatAnswer(
                term=state.term,
                source=state.replica,
                destination=message.source,
                round=message.round,
            )
            emit.send(state, peer, answer)

    def _on_member_answer(self, message: NodeMessage, now: float) -> None:
        state = self.state
        if message.term > state.term:
            election.become_follower(state, message.term, None, now)
            return
        leading = state.leading
        if leading is None:
            return
        progress = leading.progress_by_replica.get(message.source)
        if progress is None:
            return
        progress.heard_at = now
        if isinstance(message, HeartbeatAnswer):
            progress.round = max(progress.round, message.round)
            reads.answer_confirmed(state, leading, now)
        elif isinstance(message, AppendAnswer):
            replication.on_append_answer(state, progress, message, now)
            self._after_progress(leading, progress, now)
        elif isinstance(message, SnapshotAnswer):
            snapshots.on_answer(state, progress, message, now)

    def _after_progress(
        self, leading: LeaderState, progress: Progress, now: float
    ) -> None:
        self._commit(leading, now)
        changes.promote_if_caught_up(self.state, leading, progress, now)
        transfer.hand_over_if_ready(self.state, leading)

    def _commit(self, leading: LeaderState, now: float) -> None:
        state = self.state
        if not replication.commit_by_quorum(state, leading):
            return
        reads.release_early(state, leading, now)
        settled = changes.is_settled(state)
        if settled and not state.is_voter:
            # The own removal is committed: others lead from here on.
            reads.start_round(state, leading, now)
            election.become_follower(state, state.term, None, now)
            return
        for progress in leading.progress_by_replica.values():
            replication.tell_commit(state, progress)

    def _lead(self, now: float) -> None:
        state = self.state
        state.role = NodeRole.LEADER
        state.lost_rounds = 0
        state.leader = state.id
        state.votes.clear()
        first_index = LogIndex(state.log.last_index + 1)
        state.leading = LeaderState(progress_by_replica={}, first_index=first_index)
        changes.refresh_progress(state, now)
        for progress in state.leading.progress_by_replica.values():
            progress.next = first_index
        changes.append_membership(state, state.membership, now)
        reads.start_round(state, state.leading, now)

    def found(self, membership: Membership, now: float) -> Outputs:
        """Start with a first membership, when none is known.

        :param membership: The membership.
        :param now: Monotonic time, in seconds.
        """
        state = self.state
        if not state.memberships:
            snapshots.found(state, membership)
        return self._finish(now)

    def propose(self, commands: Sequence[bytes], now: float) -> Outputs | None:
        """Append commands, when this node leads and takes them.

        :param commands: Encoded commands; they get consecutive indices from the
            one after the log's last.
        :param now: Monotonic time, in seconds.
        :return: ``None`` when the node takes no commands.
        """
        state = self.state
        leading = state.leading
        if leading is None or leading.transfer_to or not state.is_voter:
            return None
        first = state.log.last_index + 1
        entries = [
            Entry(
                term=state.term,
                index=LogIndex(first + offset),
                kind=EntryKind.COMMAND,
                data=command,
            )
            for offset, command in enumerate(commands)
        ]
        leading.uncommitted_bytes += sum(len(command) for command in commands)
        emit.append_entries(state, entries)
        return self._finish(now)

    def read(self, tokens: list[int], now: float) -> Outputs:
        """Ask for a commit index confirmed by a majority from now on.

        :param tokens: Numbers that the answers will carry.
        :param now: Monotonic time, in seconds.
        """
        reads.request(self.state, tokens, now)
        return self._finish(now)

    def synced(self, number: WriteNumber, now: float) -> Outputs:
        """Note that all writes up to a number are synced.

        :param number: Number of the last of them.
        :param now: Monotonic time, in seconds.
        """
        state = self.state
        emit.release(state, number)
        if election.count_own_vote(state):
            self._lead(now)
        if state.leading is not None:
            self._commit(state.leading, now)
        return self._finish(now)

    def compact(self, index: LogIndex, data: bytes, now: float) -> Outputs:
        """Keep a snapshot of the applied state.

        :param index: Last applied index.
        :param data: The encoded state.
        :param now: Monotonic time, in seconds.
        """
        snapshots.compact(self.state, index, data)
        return self._finish(now)

    def add_learner(
        self, member: Member, now: float
    ) -> tuple[LogIndex | None, Outputs]:
        """Add a member, which becomes a voter once it keeps up.

        :param member: The new member.
        :param now: Monotonic time, in seconds.
        :return: Index of the change, ``None`` when it is not possible now.
        """
        index = None
        if self.state.leading is not None:
            index = changes.add_learner(self.state, member, now)
        return index, self._finish(now)

    def promote(self, now: float) -> Outputs:
        """Make learners voters that keep up, where there is room for a voter.

        :param now: Monotonic time, in seconds.
        """
        leading = self.state.leading
        if leading is not None:
            for progress in tuple(leading.progress_by_replica.values()):
                changes.promote_if_caught_up(self.state, leading, progress, now)
        return self._finish(now)

    def remove(
        self, instance: InstanceId, now: float
    ) -> tuple[LogIndex | None, Outputs]:
        """Remove a member.

        :param instance: Its name.
        :param now: Monotonic time, in seconds.
        :return: Index of the change, ``None`` when it is not possible now.
        """
        index = None
        if self.state.leading is not None:
            index = changes.remove(self.state, instance, now)
        return index, self._finish(now)

    def resign(self, now: float) -> None:
        """Neither lead nor know a leader, before taking no part any more.

        :param now: Monotonic time, in seconds.
        """
        election.become_follower(self.state, self.state.term, None, now)

    def transfer(self, now: float) -> Outputs:
        """Start to hand leadership over to the voter that is furthest.

        :param now: Monotonic time, in seconds.
        """
        if self.state.leading is not None:
            transfer.start(self.state, self.state.leading, now)
        return self._finish(now)

    def _finish(self, now: float) -> Outputs:
        state = self.state
        if state.leading is not None:
            for progress in tuple(state.leading.progress_by_replica.values()):
                replication.send_entries(state, progress, now)
        out = state.out
        out.last_write = state.write_number
        state.out = Outputs()
        return out
