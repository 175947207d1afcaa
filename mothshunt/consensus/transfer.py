"""Handover of leadership when the leader stops."""

from mothshunt.consensus import const, emit
from mothshunt.consensus.messages import TimeoutNow
from mothshunt.consensus.state import LeaderState, NodeState
from mothshunt.consensus.voters import NO_REPLICA


def start(state: NodeState, leading: LeaderState, now: float) -> None:
    """Choose the live voter that is furthest, and take no more commands.

    :param state: The node, a leader.
    :param leading: Its state as a leader.
    :param now: Monotonic time, in seconds.
    """
    oldest = now - state.config.election_min_s
    candidates = [
        progress
        for progress in leading.progress_by_replica.values()
        if state.membership.is_voter(progress.member.replica)
        and progress.heard_at >= oldest
    ]
    if not candidates:
        return
    best = max(candidates, key=lambda progress: progress.match)
    leading.transfer_to = best.member.replica
    leading.transfer_until = now + const.TRANSFER_TIMEOUT_S
    hand_over_if_ready(state, leading)


def hand_over_if_ready(state: NodeState, leading: LeaderState) -> None:
    """Ask the chosen voter to stand for election once it has the whole log.

    :param state: The node, a leader.
    :param leading: Its state as a leader.
    """
    progress = leading.progress_by_replica.get(leading.transfer_to)
    if progress is None or progress.match < state.log.last_index:
        return
    message = TimeoutNow(
        term=state.term,
        source=state.replica,
        destination=progress.member.replica,
    )
    emit.send(state, progress.member.id, message)


def give_up_if_late(leading: LeaderState, now: float) -> None:
    """Go on leading when nobody has taken over in time.

    :param leading: State of the leader.
    :param now: Monotonic time, in seconds.
    """
    if leading.transfer_to and now >= leading.transfer_until:
        leading.transfer_to = NO_REPLICA
