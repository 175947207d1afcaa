"""Agreement of the first control instances on the founding membership.

One decision by single-decree Paxos: each of them keeps a durable record of what it
promised and accepted, and a majority of them decides. So a log is founded while some
are down, and never twice. This rests on one fact that the settings state: an instance
that lost its data folder may not found any more.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, replace

from mothshunt.consensus import const
from mothshunt.consensus.messages import (
    NO_BALLOT,
    Ballot,
    FoundingAccept,
    FoundingAnswer,
    FoundingPrepare,
)
from mothshunt.consensus.voters import Member, Membership
from mothshunt.core.types import InstanceId
from mothshunt.util.wire import message


@message("consensus.founding_record")
@dataclass(frozen=True, kw_only=True, slots=True)
class FoundingRecord:
    """Hold what an instance must not forget of the founding.

    :param initial: Instances that may found the log, sorted; the first settings named
        them.
    :param promised: Highest ballot that it has promised to.
    :param accepted: Ballot of the membership that it accepted last.
    :param membership: That membership; ``None`` where it accepted none.
    """

    initial: tuple[InstanceId, ...]
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    membership: Membership | None = None


def answer(
    record: FoundingRecord | None,
    own: Member,
    request: FoundingPrepare | FoundingAccept,
) -> tuple[FoundingRecord | None, FoundingAnswer]:
    """Answer one step of a proposal.

    :param record: What this instance keeps; ``None`` where it may not found.
    :param own: This instance.
    :param request: The step.
    :return: The record to keep before the answer is sent, and the answer.
    """
    if record is None or record.initial != request.initial:
        return record, FoundingAnswer(sender=own, is_granted=False)
    if isinstance(request, FoundingPrepare):
        is_granted = request.ballot > record.promised
        if is_granted:
            record = replace(record, promised=request.ballot)
    else:
        is_granted = request.ballot >= record.promised
        if is_granted:
            record = replace(
                record,
                promised=request.ballot,
                accepted=request.ballot,
                membership=request.membership,
            )
    return record, FoundingAnswer(
        sender=own,
        is_granted=is_granted,
        promised=record.promised,
        accepted=record.accepted,
        membership=record.membership,
    )


def next_ballot(own: InstanceId, seen: Iterable[Ballot]) -> Ballot:
    """Return a ballot of this instance above all that it has seen.

    :param own: This instance.
    :param seen: Ballots, the one promised here among them.
    """
    return Ballot(round=1 + max(ballot.round for ballot in seen), proposer=own)


def choose(promises: Sequence[FoundingAnswer]) -> Membership:
    """Return the membership that a proposal must carry.

    :param promises: Answers that granted it, of a majority.
    """
    newest = max(promises, key=lambda promise: promise.accepted)
    if newest.membership is not None:
        return newest.membership
    members = sorted((promise.sender for promise in promises), key=lambda m: m.id)
    return Membership(voters=tuple(members))


def is_majority(count: int, initial: Sequence[InstanceId]) -> bool:
    """Tell whether so many of the initial instances are a majority of them.

    :param count: Number of instances.
    :param initial: Instances that may found the log.
    """
    return count * 2 > len(initial)


def is_due(
    *,
    own: InstanceId,
    initial: Sequence[InstanceId],
    reachable: Collection[InstanceId],
    waited_s: float,
) -> bool:
    """Tell whether this instance should propose.

    They take turns, so that proposals rarely meet, and wait for all before a majority
    has to do.

    :param own: This instance.
    :param initial: Instances that may found the log, sorted.
    :param reachable: Those that answered just now, this one included.
    :param waited_s: Time since this instance began to ask, in seconds.
    """
    if own not in initial:
        return False
    turn_s = initial.index(own) * const.FOUNDING_TURN_S
    if len(reachable) == len(initial):
        return waited_s >= turn_s
    if not is_majority(len(reachable), initial):
        return False
    return waited_s >= const.FOUNDING_PATIENCE_S + turn_s
