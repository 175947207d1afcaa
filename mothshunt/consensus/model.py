"""The replicated log as the other slices use it."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from expression import Result

from mothshunt.core.codes import Failure
from mothshunt.core.types import InstanceId, LogIndex, Term


@dataclass(frozen=True, kw_only=True, slots=True)
class Voter:
    """Name one voter of the replicated log.

    :param id: Name of the instance.
    :param host: IP number of its peer streams.
    :param port: TCP port of its peer streams.
    """

    id: InstanceId
    host: str
    port: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ConsensusStatus:
    """Describe the replicated log as one control instance sees it.

    :param term: Current election term.
    :param state: ``follower``, ``candidate``, ``leader`` or ``learner``.
    :param leader: Leader of the term, where known.
    :param commit_index: Last index known to be committed.
    :param applied_index: Last index applied to the state here.
    :param last_index: Last index of the log here.
    :param voters: Voters in force.
    :param learners: Instances that are catching up before they may vote.
    """

    term: Term
    state: str
    leader: InstanceId | None
    commit_index: LogIndex
    applied_index: LogIndex
    last_index: LogIndex
    voters: tuple[Voter, ...]
    learners: tuple[Voter, ...] = ()


class ReplicatedLog(Protocol):
    """Agree on commands with the other control instances.

    Every method works on any control instance; a follower forwards to the leader.
    """

    async def async_propose(
        self, command: bytes, timeout_s: float
    ) -> Result[bytes, Failure]:
        """Have a command committed and applied.

        :param command: Encoded command.
        :param timeout_s: Seconds to wait.
        :return: The outcome of applying it; or a failure whose ``ran`` is ``no`` when
            the command will never be applied, ``unknown`` when it may be.
        """
        ...

    async def async_read_barrier(self, timeout_s: float) -> Result[LogIndex, Failure]:
        """Wait until the state here holds all that was committed before the call.

        The commit index is confirmed by a majority in a round that began after the
        call.

        :param timeout_s: Seconds to wait.
        :return: The confirmed index, or a failure when no majority confirmed it.
        """
        ...

    async def async_confirm_leadership(self, timeout_s: float) -> Result[Term, Failure]:
        """Confirm, in a round begun after the call, that this instance leads.

        :param timeout_s: Seconds to wait.
        :return: The term, or a failure when this instance is not the leader.
        """
        ...

    async def async_add_voter(
        self, voter: Voter, timeout_s: float
    ) -> Result[LogIndex, Failure]:
        """Add one voter, which first catches up as a learner.

        :param voter: The new voter.
        :param timeout_s: Seconds to wait.
        """
        ...

    async def async_remove_voter(
        self, voter: InstanceId, timeout_s: float
    ) -> Result[LogIndex, Failure]:
        """Remove one voter.

        :param voter: Name of the voter.
        :param timeout_s: Seconds to wait.
        """
        ...

    def status(self) -> ConsensusStatus:
        """Return the state of the replicated log as seen here."""
        ...

    def on_applied(self, listener: Callable[[LogIndex], None]) -> None:
        """Call a listener in the event loop after commands were applied here.

        :param listener: Called with the last applied index.
        """
        ...
