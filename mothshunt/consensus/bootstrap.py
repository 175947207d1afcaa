"""How a node whose data folder is empty, or out of date, takes part again.

A replica number is made with the data folder, and the membership names the replica of
each member. So a folder that was lost is noticed by all: its instance comes back with
a number that no membership names, and neither votes nor acknowledgements count until
the leader has taken it in as a learner, it has caught up, and it is a voter again.

The first membership is made when every initial member says that it knows of none. As
all of them have to answer, none that holds state can be passed over. Where the settings
exclude that a lost folder founds, a majority agrees on it instead (``founding``).
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from mothshunt.consensus import founding
from mothshunt.consensus.messages import HelloAnswer
from mothshunt.consensus.voters import Member, Membership
from mothshunt.core.types import InstanceId


class Step(Enum):
    """What to do next."""

    WAIT = "wait"
    #: Make the first membership, or take it over from another member.
    FOUND = "found"
    #: Ask the leader to be admitted as a learner.
    REJOIN = "rejoin"
    #: Propose the first membership to the other initial members.
    PROPOSE = "propose"


@dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """Tell what to do next.

    :param step: The step.
    :param membership: The first membership, for ``FOUND``.
    :param leaders: Instances to ask, for ``REJOIN``.
    """

    step: Step
    membership: Membership | None = None
    leaders: tuple[InstanceId, ...] = ()


def decide(
    *,
    own: Member,
    known: Membership | None,
    initial: Sequence[InstanceId],
    answer_by_instance: Mapping[InstanceId, HelloAnswer],
    may_join: bool = False,
    waited_s: float | None = None,
) -> Decision:
    """Decide from what the other control instances say.

    :param own: This node.
    :param known: Newest membership in the own log; ``None`` where there is none.
    :param initial: Initial members, by the settings; none where the log was founded
        before this instance was there.
    :param answer_by_instance: What others answered just now.
    :param may_join: Whether an instance that no membership names asks for admission.
    :param waited_s: Time since this instance began to ask, in seconds, where a majority
        may found the log; ``None`` where all initial members have to answer.
    """
    answers = list(answer_by_instance.values())
    memberships = [a.membership for a in answers if a.membership is not None]
    naming = [m for m in memberships if m.has(own.replica)]
    if known is None and naming:
        return Decision(step=Step.FOUND, membership=naming[0])
    if memberships or known is not None:
        return _decide_rejoin(own, answers, may_join=may_join)
    others = [instance for instance in initial if instance != own.id]
    if waited_s is not None:
        is_due = founding.is_due(
            own=own.id,
            initial=initial,
            reachable={own.id, *(i for i in others if i in answer_by_instance)},
            waited_s=waited_s,
        )
        return Decision(step=Step.PROPOSE if is_due else Step.WAIT)
    has_all = all(instance in answer_by_instance for instance in others)
    if own.id not in initial or not has_all:
        return Decision(step=Step.WAIT)
    members = [own, *(answer_by_instance[i].sender for i in others)]
    voters = tuple(sorted(members, key=lambda member: member.id))
    return Decision(step=Step.FOUND, membership=Membership(voters=voters))


def _decide_rejoin(
    own: Member, answers: Sequence[HelloAnswer], *, may_join: bool
) -> Decision:
    """Ask for admission where others name this instance with another folder.

    The leader judges; one that names this folder answers that nothing is to be done.
    """
    leaders: list[InstanceId] = []
    for answer in answers:
        membership = answer.membership
        if membership is None or membership.has(own.replica):
            continue
        is_named = membership.find(own.id) is not None
        if not (is_named or may_join) or answer.leader is None:
            continue
        if answer.leader not in leaders and answer.leader != own.id:
            leaders.append(answer.leader)
    if not leaders:
        return Decision(step=Step.WAIT)
    return Decision(step=Step.REJOIN, leaders=tuple(leaders))
