"""Changes of the membership, one voter at a time, through the log."""

from mothshunt.consensus import const, emit, voters
from mothshunt.consensus.state import LeaderState, NodeState, Progress
from mothshunt.consensus.types import Entry, EntryKind
from mothshunt.consensus.voters import Member, Membership, ReplicaId
from mothshunt.core.types import InstanceId, LogIndex


def is_settled(state: NodeState) -> bool:
    """Tell whether the newest membership is committed, so that another may follow.

    Each leader's first entry states the membership once more, so this also says
    that it has committed an entry of its own term.

    :param state: The node, a leader.
    """
    return state.membership_index <= state.commit_index


def append_membership(state: NodeState, membership: Membership, now: float) -> LogIndex:
    """Append a membership, which is in force at once.

    :param state: The node, a leader.
    :param membership: The new membership.
    :param now: Monotonic time, in seconds.
    :return: Index of its entry.
    """
    entry = Entry(
        term=state.term,
        index=LogIndex(state.log.last_index + 1),
        kind=EntryKind.MEMBERSHIP,
        data=voters.encode(membership),
    )
    emit.append_entries(state, [entry])
    refresh_progress(state, now)
    return entry.index


def refresh_progress(state: NodeState, now: float) -> None:
    """Follow exactly the other members of the newest membership.

    :param state: The node, a leader.
    :param now: Monotonic time, in seconds.
    """
    leading = state.leading
    if leading is None:
        return
    before = leading.progress_by_replica
    leading.progress_by_replica = {}
    for member in state.membership.members():
        if member.replica == state.replica:
            continue
        progress = before.get(member.replica)
        if progress is None:
            progress = Progress(
                member=member,
                next=LogIndex(state.log.last_index),
                heard_at=now,
                catch_up_target=state.log.last_index,
                catch_up_since=now,
            )
        progress.member = member
        leading.progress_by_replica[member.replica] = progress


def add_learner(state: NodeState, member: Member, now: float) -> LogIndex | None:
    """Add a learner; a voter of its name with another data folder is removed.

    :param state: The node, a leader.
    :param member: The new member.
    :param now: Monotonic time, in seconds.
    :return: Index of the change; ``None`` when another is not committed yet, when
        there is no room, or when no voter would be left.
    """
    membership = state.membership.with_learner(member)
    is_full = len(membership.members()) > const.MAX_MEMBERS
    if not is_settled(state) or is_full or not membership.voters:
        return None
    return append_membership(state, membership, now)


def remove(state: NodeState, instance: InstanceId, now: float) -> LogIndex | None:
    """Remove a member.

    :param state: The node, a leader.
    :param instance: Name of the member.
    :param now: Monotonic time, in seconds.
    :return: Index of the change; ``None`` when another is not committed yet, or when
        no voter would be left.
    """
    membership = state.membership.without(instance)
    if not is_settled(state) or not membership.voters:
        return None
    return append_membership(state, membership, now)


def promote_if_caught_up(
    state: NodeState, leading: LeaderState, progress: Progress, now: float
) -> None:
    """Make a learner a voter once it keeps up.

    It keeps up when it has reached, within an election timeout, all that the log
    held when that time began, and that is committed.

    :param state: The node, a leader.
    :param leading: Its state as a leader.
    :param progress: The member.
    :param now: Monotonic time, in seconds.
    """
    member = progress.member
    if state.membership.is_voter(member.replica):
        return
    if len(state.membership.voters) >= state.config.max_voters:
        return
    reached = max(progress.catch_up_target, leading.first_index)
    if progress.match < reached:
        return
    took_s = now - progress.catch_up_since
    if took_s > state.config.election_min_s:
        progress.catch_up_target = state.log.last_index
        progress.catch_up_since = now
        if progress.match < progress.catch_up_target:
            return
    if is_settled(state) and state.commit_index >= reached:
        append_membership(state, state.membership.with_promoted(member), now)


def is_alive(leading: LeaderState, replica: ReplicaId, oldest: float) -> bool:
    """Tell whether a member has answered since a time.

    :param leading: State of the leader.
    :param replica: The member's data folder.
    :param oldest: Monotonic time, in seconds.
    """
    progress = leading.progress_by_replica.get(replica)
    return progress is not None and progress.round > 0 and progress.heard_at >= oldest
