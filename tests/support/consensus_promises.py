"""What must hold whenever a node of the replicated log has done a step."""

from mothshunt.consensus.messages import AppendAnswer, VoteAnswer, VoteRequest


def check_is_durable(disk, message):
    """Whatever a message tells of is synced."""
    hard_state = disk.durable.hard_state
    if getattr(message, "pre_vote", False):
        return
    assert hard_state.term >= message.term, "the term is not synced"
    if isinstance(message, AppendAnswer) and message.accepted:
        assert disk.holds(message.index), "acknowledged before the sync"
    if hard_state.term != message.term:
        return
    if isinstance(message, VoteRequest):
        assert hard_state.voted_for == message.source, "the own vote is not synced"
    if isinstance(message, VoteAnswer) and message.granted:
        assert hard_state.voted_for == message.destination, "the vote is not synced"


def check_commit(state, disk_by_replica):
    """A leader commits what a majority of disks holds, by an entry of its own."""
    index = state.commit_index
    term = state.log.term_at(index)
    assert term == state.term, "committed by an entry of an earlier term"

    def holds(replica):
        disk = disk_by_replica[replica]
        snapshot = disk.durable.snapshot
        is_covered = snapshot is not None and snapshot.index >= index
        return is_covered or disk.term_at(index) == term

    assert state.membership.is_quorum(holds), "committed without a majority of disks"


def check_election(state, disk_by_replica):
    """A majority of disks knows of the vote for a new leader."""

    def has_voted(replica):
        hard_state = disk_by_replica[replica].durable.hard_state
        if hard_state.term > state.term:
            return True
        voted_for = (state.term, state.replica)
        return (hard_state.term, hard_state.voted_for) == voted_for

    assert state.membership.is_quorum(has_voted), "elected without a majority of disks"


def check_memberships(state, disk_by_replica):
    """Memberships differ by one voter at most, and one change follows another."""
    pending = 0
    for before, after in zip(state.memberships, state.memberships[1:], strict=False):
        old = {member.replica for member in before.membership.voters}
        new = {member.replica for member in after.membership.voters}
        if before.index == 0:
            _check_first(state, before.membership, after.membership)
        else:
            assert len(old ^ new) <= 1, "two voters changed at once"
        # After a restart a leader holds committed changes that it does not know to be
        # so; only what it began itself is judged.
        if state.log.term_at(after.index) != state.term:
            continue
        if before.membership != after.membership and after.index > state.commit_index:
            pending += 1
        for replica in new - old:
            first = state.leading.first_index
            assert disk_by_replica[replica].holds(first), "a voter that lacks entries"
    assert pending <= 1, "a change began before the last one was committed"
    is_settled = state.commit_index >= state.leading.first_index
    assert pending == 0 or is_settled, "a change began before the first own commit"


def check_is_complete(state, index, term):
    """The leader of the newest term holds every accepted entry."""
    is_held = state.log.term_at(index) == term or index <= state.log.base_index
    assert is_held, f"the leader of term {state.term} lacks accepted entry {index}"


def _check_first(state, own, first):
    """A founder agrees with the others; a learner takes over what is in the log.

    A node without a log that is named as a learner keeps the newest membership that
    names it, as it has nothing before. It can't stand for election by that: the leader
    has sent it the whole log before it is made a voter.
    """
    if own.is_voter(state.replica):
        _check_founding(own, first)
        return
    later = [at.membership for at in state.memberships if at.index > 0]
    assert own.has(state.replica), "a membership that does not name its holder"
    assert own in later, "a membership that was never in the log"


def _check_founding(own, first):
    """Founders may know different disks of one instance, when one was lost meanwhile.

    The first leader's entry then settles which; as only one of two disks exists, and
    they are a minority, the majorities of both still overlap.
    """
    first_by_id = {member.id: member.replica for member in first.voters}
    own_by_id = {member.id: member.replica for member in own.voters}
    changed = [i for i in own_by_id if own_by_id[i] != first_by_id.get(i)]
    assert own_by_id.keys() == first_by_id.keys(), "a voter changed at the founding"
    assert len(changed) * 2 < len(own_by_id), "a majority changed at the founding"
