"""Requests that this node handles when it leads."""

import asyncio
from collections.abc import Callable

from expression import Result

from mothshunt.consensus import changes, codes, const, upkeep
from mothshunt.consensus.driver import NodeDriver
from mothshunt.consensus.messages import (
    AddVoter,
    Answer,
    Hello,
    HelloAnswer,
    Propose,
    Read,
    Rejoin,
    RemoveVoter,
)
from mothshunt.consensus.model import Voter
from mothshunt.consensus.routing import to_answer
from mothshunt.consensus.state import LeaderState
from mothshunt.consensus.voters import Member
from mothshunt.consensus.waiting import unknown
from mothshunt.core.codes import Failure, ResultCode
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import LogIndex, Ran
from mothshunt.helpers.log import get_logger

_LOGGER = get_logger("consensus")


class LeaderService:
    """Handle commands, reads and changes of the voters.

    :param driver: The node of this instance.
    :param network: Streams to the other instances.
    :param own: Returns this instance as a member.
    :param announce: Tells of the address of an instance that is to become a voter.
    """

    def __init__(
        self,
        *,
        driver: NodeDriver,
        network: PeerNetwork,
        own: Member,
        announce: Callable[[Voter], None],
    ) -> None:
        self._driver = driver
        self._network = network
        self._own = own
        self._announce = announce

    async def async_propose(self, request: Propose) -> Answer:
        """Have a command committed and applied.

        :param request: The command.
        """
        outcome = self._driver.propose(request.command)
        try:
            result = await asyncio.wait_for(outcome, request.timeout_s)
        except TimeoutError:
            return to_answer(unknown("not committed in time"))
        match result:
            case Result(tag="ok", ok=applied):
                return Answer(outcome=applied)
            case Result(error=failure):
                return to_answer(failure)

    async def async_read(self, request: Read) -> Answer:
        """Confirm the commit index.

        :param request: How long to wait.
        """
        try:
            index = await asyncio.wait_for(self._driver.read(), request.timeout_s)
        except TimeoutError:
            return _failed(codes.NOT_CONFIRMED, "no majority answered in time")
        if index is None:
            return _failed(codes.NOT_LEADER)
        return Answer(index=index)

    async def async_rejoin(self, request: Rejoin) -> Answer:
        """Admit a member whose data folder is another one.

        :param request: The member.
        """
        state = self._driver.state
        leading = state.leading
        if leading is None:
            return _failed(codes.NOT_LEADER)
        member = request.member
        present = state.membership.find(member.id)
        if present is None and state.config.is_self_managed:
            return self._add_learner(member)
        if present is None:
            return _failed(codes.VOTER_UNKNOWN, f"{member.id} is no member")
        if present.replica == member.replica:
            return Answer(index=state.membership_index)
        oldest = self._driver.now() - state.config.election_min_s
        is_alive = changes.is_alive(leading, present.replica, oldest)
        if member.id == self._own.id or is_alive:
            return _failed(codes.DUPLICATE_INSTANCE, f"{member.id} is running")
        return self._add_learner(member)

    async def async_keep_members(self) -> None:
        """Replace lost voters by learners that keep up, while this node leads."""
        while True:
            await asyncio.sleep(const.UPKEEP_INTERVAL_S)
            driver = self._driver
            leading = driver.state.leading
            if leading is None:
                continue
            lost = upkeep.member_to_remove(driver.state, leading, driver.now())
            if lost is not None:
                _LOGGER.warning("a lost member is removed", member=lost.id)
                driver.perform(driver.node.remove(lost.id, driver.now())[1])
                continue
            driver.perform(driver.node.promote(driver.now()))

    def _add_learner(self, member: Member) -> Answer:
        driver = self._driver
        index, outputs = driver.node.add_learner(member, driver.now())
        driver.perform(outputs)
        if index is None:
            return _failed(codes.CHANGE_IN_PROGRESS)
        return Answer(index=index)

    async def async_add_voter(self, request: AddVoter) -> Answer:
        """Add a voter, which first catches up as a learner.

        :param request: The voter.
        """
        deadline = self._driver.now() + request.timeout_s
        state = self._driver.state
        leading = state.leading
        if leading is None:
            return _failed(codes.NOT_LEADER)
        present = state.membership.find(request.id)
        if present is None and len(state.membership.members()) >= const.MAX_MEMBERS:
            return _failed(codes.TOO_MANY_VOTERS)
        self._announce(Voter(id=request.id, host=request.host, port=request.port))
        member = await self._async_introduce(request, deadline)
        if member is None:
            return _failed(codes.VOTER_UNREACHABLE, request.id)
        if present is None or present.replica != member.replica:
            answer = self._add_learner(member)
            if answer.code:
                return answer
        return await self._async_voter_committed(member, state.leading, deadline)

    async def _async_introduce(
        self, request: AddVoter, deadline: float
    ) -> Member | None:
        """Ask a new voter for the number of its data folder."""
        while self._driver.now() < deadline:
            reply = await self._network.async_request(
                request.id, Hello(sender=self._own), const.HELLO_TIMEOUT_S
            )
            match reply:
                case Result(tag="ok", ok=HelloAnswer(sender=sender)):
                    return Member(
                        id=request.id,
                        host=request.host,
                        port=request.port,
                        replica=sender.replica,
                    )
            await asyncio.sleep(const.RETRY_PAUSE_S)
        return None

    async def _async_voter_committed(
        self, member: Member, leading: LeaderState | None, deadline: float
    ) -> Answer:
        state = self._driver.state

        def is_done() -> bool:
            return state.membership.is_voter(member.replica) and changes.is_settled(
                state
            )

        return await self._async_until(is_done, leading, deadline)

    async def async_remove_voter(self, request: RemoveVoter) -> Answer:
        """Remove a voter; a leader hands over first when it is asked to go itself.

        :param request: The voter.
        """
        deadline = self._driver.now() + request.timeout_s
        driver = self._driver
        state = driver.state
        leading = state.leading
        if leading is None:
            return _failed(codes.NOT_LEADER)
        if state.membership.find(request.id) is None:
            return _failed(codes.VOTER_UNKNOWN, request.id)
        if not state.membership.without(request.id).voters:
            return _failed(codes.LAST_VOTER)
        if request.id == self._own.id:
            driver.perform(driver.node.transfer(driver.now()))
            return _failed(codes.NOT_LEADER)
        index, outputs = driver.node.remove(request.id, driver.now())
        driver.perform(outputs)
        if index is None:
            return _failed(codes.CHANGE_IN_PROGRESS)
        return await self._async_until(
            lambda: state.commit_index >= index, leading, deadline
        )

    async def _async_until(
        self,
        is_done: Callable[[], bool],
        leading: LeaderState | None,
        deadline: float,
    ) -> Answer:
        """Wait for a change of the voters while this node leads."""
        state = self._driver.state
        while not is_done():
            if state.leading is not leading or self._driver.now() >= deadline:
                failure = Failure(code=codes.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN)
                return to_answer(failure)
            await asyncio.sleep(const.RETRY_PAUSE_S)
        return Answer(index=LogIndex(state.membership_index))


def _failed(code: ResultCode, detail: str = "") -> Answer:
    failure = Failure(code=code, detail=detail, retry_after_s=const.RETRY_AFTER_S)
    return to_answer(failure)
