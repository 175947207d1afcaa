"""Callers that wait for a command, a read or an index."""

import asyncio
from dataclasses import dataclass
from typing import TypeVar

from expression import Error, Ok, Result

from mothshunt.consensus import codes
from mothshunt.core.codes import Failure
from mothshunt.core.types import LogIndex, Ran, Term

T = TypeVar("T")
Outcome = Result[bytes, Failure]


@dataclass(frozen=True, kw_only=True, slots=True)
class Proposal:
    """Hold a command that waits to be appended.

    :param command: The command.
    :param outcome: Set when its fate is known.
    """

    command: bytes
    outcome: asyncio.Future[Outcome]


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendedProposal:
    """Hold a command that waits to be applied.

    :param term: Term of its entry.
    :param outcome: Set when its fate is known.
    """

    term: Term
    outcome: asyncio.Future[Outcome]


class ProposalWaiters:
    """Hold the proposals made here by the index of their entries."""

    def __init__(self) -> None:
        self._proposal_by_index: dict[LogIndex, AppendedProposal] = {}

    def add(
        self, index: LogIndex, term: Term, outcome: asyncio.Future[Outcome]
    ) -> None:
        """Wait for an entry.

        :param index: Position of the entry.
        :param term: Its term.
        :param outcome: Set when its fate is known.
        """
        earlier = self._proposal_by_index.get(index)
        if earlier is not None:
            # It is gone from this log, but another node that holds it may still lead.
            settle(earlier.outcome, Error(unknown("dropped here by another leader")))
        self._proposal_by_index[index] = AppendedProposal(term=term, outcome=outcome)

    def applied(self, index: LogIndex, term: Term, outcome: bytes) -> None:
        """Answer whoever waits for an index.

        :param index: Applied index.
        :param term: Term of the entry that was applied there.
        :param outcome: Outcome of applying it.
        """
        proposal = self._proposal_by_index.pop(index, None)
        if proposal is None:
            return
        if proposal.term == term:
            settle(proposal.outcome, Ok(outcome))
        else:
            settle(proposal.outcome, Error(superseded()))

    def skipped(self, index: LogIndex, detail: str) -> None:
        """Answer all up to an index whose outcome was not seen here.

        :param index: Last index that was skipped.
        :param detail: Why it was skipped.
        """
        indices = [at for at in self._proposal_by_index if at <= index]
        for at in indices:
            proposal = self._proposal_by_index.pop(at)
            settle(proposal.outcome, Error(unknown(detail)))

    def give_up(self, detail: str) -> None:
        """Answer all that still wait.

        :param detail: Why nothing more will be known.
        """
        for proposal in self._proposal_by_index.values():
            settle(proposal.outcome, Error(unknown(detail)))
        self._proposal_by_index.clear()


@dataclass(frozen=True, kw_only=True, slots=True)
class _IndexWaiter:
    index: LogIndex
    reached: asyncio.Future[None]


class IndexWaiters:
    """Hold those who wait until an index is reached."""

    def __init__(self) -> None:
        self._waiters: list[_IndexWaiter] = []

    def wait(self, index: LogIndex) -> asyncio.Future[None]:
        """Return a future that is set when an index is reached.

        :param index: The index.
        """
        reached: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(_IndexWaiter(index=index, reached=reached))
        return reached

    def reached(self, index: LogIndex) -> None:
        """Wake all who wait for an index up to this one.

        :param index: The index that was reached.
        """
        if not self._waiters:
            return
        for waiter in self._waiters:
            if waiter.index <= index:
                settle(waiter.reached, None)
        self._waiters = [w for w in self._waiters if not w.reached.done()]


def settle(future: asyncio.Future[T], value: T) -> None:
    """Set the result of a future that nobody has cancelled.

    :param future: The future.
    :param value: Its result.
    """
    if not future.done():
        future.set_result(value)


def superseded() -> Failure:
    """Return the failure of a command that will never be applied."""
    return Failure(code=codes.SUPERSEDED, retry_after_s=0.0)


def unknown(detail: str) -> Failure:
    """Return the failure of a command that may still be applied.

    :param detail: What is known.
    """
    return Failure(code=codes.OUTCOME_UNKNOWN, detail=detail, ran=Ran.UNKNOWN)
