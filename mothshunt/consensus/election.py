"""Elections: pre-vote, vote, and when a leader steps down."""

from mothshunt.consensus import const, emit
from mothshunt.consensus.messages import VoteAnswer, VoteRequest
from mothshunt.consensus.state import NodeState, ReadAnswer
from mothshunt.consensus.types import NodeRole
from mothshunt.consensus.voters import NO_REPLICA, ReplicaId
from mothshunt.core.types import InstanceId, Term


def become_follower(
    state: NodeState, term: Term, leader: InstanceId | None, now: float
) -> None:
    """Follow in a term; a higher one is written before anything is said in it.

    :param state: The node.
    :param term: The term.
    :param leader: Its leader, where known.
    :param now: Monotonic time, in seconds.
    """
    if state.leading is not None:
        _give_up_leading(state)
        state.reset_election(now)
    if term > state.term:
        state.term = term
        state.voted_for = NO_REPLICA
        state.incoming = None
        emit.write_hard_state(state)
    state.role = NodeRole.FOLLOWER
    state.leader = leader
    state.votes.clear()


def _give_up_leading(state: NodeState) -> None:
    leading = state.leading
    if leading is None:
        return
    tokens = [read.token for read in leading.reads] + leading.early_reads
    state.out.reads.extend(ReadAnswer(token=token, index=None) for token in tokens)
    state.leading = None


def start_pre_vote(state: NodeState, now: float) -> None:
    """Ask whether a majority would grant a vote, without raising the term.

    :param state: The node.
    :param now: Monotonic time, in seconds.
    """
    # A pre-vote raises no term, so one without an answer may be repeated soon: streams
    # that had gone silent come back at any moment.
    _retry_soon(state, now)
    state.leader = None
    if not state.may_campaign:
        return
    state.role = NodeRole.PRE_CANDIDATE
    state.votes = {state.replica}
    if state.membership.is_quorum(state.votes.__contains__):
        start_election(state, now)
        return
    _ask_for_votes(state, Term(state.term + 1), pre_vote=True)


def start_election(state: NodeState, now: float, *, transfer: bool = False) -> None:
    """Stand for election in the next term.

    :param state: The node.
    :param now: Monotonic time, in seconds.
    :param transfer: Whether the leader itself asked for it.
    """
    state.lost_rounds += 1
    state.given_way_to.clear()
    _retry_soon(state, now)
    state.role = NodeRole.CANDIDATE
    state.leader = None
    state.term = Term(state.term + 1)
    state.voted_for = state.replica
    # The own vote counts once it is synced, see count_own_vote.
    state.votes = set()
    state.incoming = None
    emit.write_hard_state(state)
    _ask_for_votes(state, state.term, pre_vote=False, transfer=transfer)


def _retry_soon(state: NodeState, now: float) -> None:
    """Put the next round off for little; twice as long after each that elected nobody.

    Candidates that stood at the same time split the votes. Where disks or links are too
    slow for a round, later rounds give them the time.
    """
    # The range is limited, not the time: candidates that all wait for the longest time
    # would stand together again and again.
    longest_s = min(
        const.LOST_MAX_S * 2**state.lost_rounds, state.config.election_max_s
    )
    shortest_s = longest_s * const.LOST_MIN_S / const.LOST_MAX_S
    state.election_due = now + state.random.uniform(shortest_s, longest_s)


def _ask_for_votes(
    state: NodeState, term: Term, *, pre_vote: bool, transfer: bool = False
) -> None:
    for member in state.membership.voters:
        if member.replica == state.replica:
            continue
        request = VoteRequest(
            term=term,
            source=state.replica,
            destination=member.replica,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            pre_vote=pre_vote,
            transfer=transfer,
        )
        emit.send(state, member.id, request)


def count_own_vote(state: NodeState) -> bool:
    """Count the own vote of a candidate once it is synced.

    :param state: The node.
    :return: Whether the election is won.
    """
    if state.role is not NodeRole.CANDIDATE:
        return False
    if state.hard_state_write > state.synced_write:
        return False
    state.votes.add(state.replica)
    return state.membership.is_quorum(state.votes.__contains__)


def hears_leader(state: NodeState, now: float) -> bool:
    """Tell whether a live leader is known, so that no vote is due.

    :param state: The node.
    :param now: Monotonic time, in seconds.
    """
    if state.role is NodeRole.LEADER:
        return True
    return now - state.leader_heard_at < state.config.election_min_s


def expect_no_leader(state: NodeState, now: float) -> None:
    """Start an election soon, and grant votes from now on.

    :param state: The node.
    :param now: Monotonic time, in seconds.
    """
    if state.role is not NodeRole.FOLLOWER or state.leader is None:
        return
    state.leader_heard_at = now - state.config.election_min_s
    wait_s = state.random.uniform(const.LOST_MIN_S, const.LOST_MAX_S)
    state.election_due = min(state.election_due, now + wait_s)
    state.leader = None


def on_vote_request(
    state: NodeState, peer: InstanceId, request: VoteRequest, now: float
) -> None:
    """Grant or refuse a vote.

    :param state: The node.
    :param peer: The candidate.
    :param request: What it asks.
    :param now: Monotonic time, in seconds.
    """
    if not request.transfer and hears_leader(state, now):
        return
    if request.pre_vote:
        granted = request.term > state.term and _is_up_to_date(state, request)
        if granted:
            _give_way(state, request, now)
        _answer(state, peer, request, granted)
        return
    if request.term > state.term:
        become_follower(state, request.term, None, now)
    granted = (
        request.term == state.term
        and state.voted_for in (NO_REPLICA, request.source)
        and _is_up_to_date(state, request)
    )
    if granted and state.voted_for == NO_REPLICA:
        state.voted_for = request.source
        emit.write_hard_state(state)
    if granted:
        state.reset_election(now)
    _answer(state, peer, request, granted)


def _give_way(state: NodeState, request: VoteRequest, now: float) -> None:
    """Put the own round off for one that has begun; of two begun together, the higher.

    Rounds at the same time split the votes. A node gives way to each other one once,
    until it stands for election itself or somebody leads: one that can't win holds
    nobody up for long.

    :param state: The node.
    :param request: The pre-vote that is granted.
    :param now: Monotonic time, in seconds.
    """
    if request.source in state.given_way_to or state.role is NodeRole.CANDIDATE:
        return
    if state.role is NodeRole.PRE_CANDIDATE:
        if request.source > state.replica:
            return
        state.role = NodeRole.FOLLOWER
        state.votes.clear()
    state.given_way_to.add(request.source)
    wait_s = state.random.uniform(const.LOST_MIN_S, const.LOST_MAX_S)
    state.election_due = max(state.election_due, now + wait_s)


def _is_up_to_date(state: NodeState, request: VoteRequest) -> bool:
    own = (state.log.last_term, state.log.last_index)
    return (request.last_term, request.last_index) >= own


def _answer(
    state: NodeState, peer: InstanceId, request: VoteRequest, granted: bool
) -> None:
    answer = VoteAnswer(
        term=request.term if granted else state.term,
        source=state.replica,
        destination=request.source,
        pre_vote=request.pre_vote,
        granted=granted,
    )
    emit.send(state, peer, answer)


def on_vote_answer(state: NodeState, answer: VoteAnswer, now: float) -> bool:
    """Count a vote.

    :param state: The node.
    :param answer: The answer of a voter.
    :param now: Monotonic time, in seconds.
    :return: Whether the election is won.
    """
    if not answer.granted:
        if answer.term > state.term:
            become_follower(state, answer.term, None, now)
        return False
    if answer.pre_vote:
        _count_pre_vote(state, answer, now)
        return False
    if state.role is not NodeRole.CANDIDATE or answer.term != state.term:
        return False
    state.votes.add(answer.source)
    return state.membership.is_quorum(state.votes.__contains__)


def _count_pre_vote(state: NodeState, answer: VoteAnswer, now: float) -> None:
    if state.role is not NodeRole.PRE_CANDIDATE or answer.term != state.term + 1:
        return
    state.votes.add(answer.source)
    if state.membership.is_quorum(state.votes.__contains__):
        start_election(state, now)


def has_quorum_contact(state: NodeState, now: float) -> bool:
    """Tell whether a leader has heard from a majority lately.

    :param state: The node, a leader.
    :param now: Monotonic time, in seconds.
    """
    leading = state.leading
    if leading is None:
        return False
    oldest = now - state.config.election_min_s
    progress_by_replica = leading.progress_by_replica

    def heard(replica: ReplicaId) -> bool:
        if replica == state.replica:
            return True
        progress = progress_by_replica.get(replica)
        return progress is not None and progress.heard_at >= oldest

    return state.membership.is_quorum(heard)
