"""Log lines of the consensus slice: one dataclass for each kind."""

from dataclasses import dataclass

from mothshunt.core.types import (
    InstanceId,
)
from mothshunt.helpers.log import log_event


@log_event("founding proposed", slice_name="consensus")
@dataclass(frozen=True, kw_only=True, slots=True)
class FoundingProposed:
    """Proposal of the first membership of the replicated log.

    :param round: Round number of the proposal's ballot.
    :param granted_by: Instances that agreed to the last step that was reached.
    :param voters: Voters of the membership that the instances were asked to accept;
        empty if no majority promised to accept one.
    :param is_chosen: Whether a majority has accepted the membership.
    """

    round: int
    granted_by: tuple[InstanceId, ...]
    voters: tuple[InstanceId, ...]
    is_chosen: bool


@log_event("role changed", slice_name="consensus")
@dataclass(frozen=True, kw_only=True, slots=True)
class RoleChanged:
    """Change of the role of a control instance in the replicated log.

    :param role: The new role.
    :param term: Term in which it has the role.
    :param leader: Leader of the term, if known.
    """

    role: str
    term: int
    leader: InstanceId | None = None


@log_event("voters changed", slice_name="consensus")
@dataclass(frozen=True, kw_only=True, slots=True)
class VotersChanged:
    """Change of the membership of the replicated log, as stored by a control instance.

    :param voters: Instances that vote.
    :param learners: Instances that receive the log but don't vote yet.
    """

    voters: tuple[InstanceId, ...]
    learners: tuple[InstanceId, ...]
