"""Decide which lost members the leader takes out of the membership."""

from mothshunt.consensus import changes, const, election
from mothshunt.consensus.state import LeaderState, NodeState
from mothshunt.consensus.voters import Member


def member_to_remove(
    state: NodeState, leading: LeaderState, now: float
) -> Member | None:
    """Return a lost member whose place another one can take.

    A lost voter goes only when a learner that keeps up can be promoted in its place,
    so that no loss leaves fewer voters than there could be. A lost learner goes only
    when there is no room for another member.

    :param state: The node, a leader.
    :param leading: Its state as a leader.
    :param now: Monotonic time, in seconds.
    """
    # After a freeze of this instance, all others look lost.
    if not changes.is_settled(state) or not election.has_quorum_contact(state, now):
        return None
    oldest = now - const.REPLACE_AFTER_S

    def is_lost(member: Member) -> bool:
        if member.replica == state.replica:
            return False
        progress = leading.progress_by_replica.get(member.replica)
        return progress is not None and progress.heard_at < oldest

    membership = state.membership
    lost_voters = [m for m in membership.voters if is_lost(m)]
    has_stand_in = any(
        keeps_up(state, leading, m) and not is_lost(m) for m in membership.learners
    )
    is_full = len(membership.voters) >= state.config.max_voters
    if lost_voters and has_stand_in and is_full:
        return lost_voters[0]
    if len(membership.members()) < const.MAX_MEMBERS:
        return None
    lost_learners = [m for m in membership.learners if is_lost(m)]
    return lost_learners[0] if lost_learners else None


def keeps_up(state: NodeState, leading: LeaderState, member: Member) -> bool:
    """Tell whether a member has acknowledged all that is committed.

    :param state: The node, a leader.
    :param leading: Its state as a leader.
    :param member: The member.
    """
    progress = leading.progress_by_replica.get(member.replica)
    return progress is not None and progress.match >= state.commit_index
