"""Task that brings a node into the replicated log, or back into it."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random

from expression import Result

from mothshunt.consensus import bootstrap, const
from mothshunt.consensus.bootstrap import Decision, Step
from mothshunt.consensus.driver import NodeDriver
from mothshunt.consensus.founder import Founder
from mothshunt.consensus.messages import Answer, Hello, HelloAnswer, Rejoin
from mothshunt.consensus.types import NodeRole
from mothshunt.consensus.voters import Member, Membership
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId
from mothshunt.helpers.log import get_logger

_LOGGER = get_logger("consensus")


class Introduction:
    """Talk with the other control instances while this one takes no part.

    :param own: This instance.
    :param driver: Its node.
    :param network: Streams to the other instances.
    :param founder: Takes part in a founding by a majority; ``None`` where all initial
        members have to answer.
    :param initial: Initial members, by the settings.
    :param contacts: Control instances to ask while no membership is known.
    :param may_join: Whether to ask for admission where no membership names this
        instance.
    :param on_membership: Called with each membership that another instance tells.
    :param random: Source of jitter.
    """

    def __init__(
        self,
        *,
        own: Member,
        driver: NodeDriver,
        network: PeerNetwork,
        founder: Founder | None,
        initial: Sequence[InstanceId],
        contacts: Sequence[InstanceId],
        may_join: bool,
        on_membership: Callable[[Membership], None],
        random: Random,
    ) -> None:
        self._own = own
        self._driver = driver
        self._network = network
        self._founder = founder
        self._initial = founder.initial if founder is not None else tuple(initial)
        self._contacts = tuple(contacts)
        self._may_join = may_join
        self._on_membership = on_membership
        self._random = random
        self._began_at = driver.now()

    def known_membership(self) -> Membership | None:
        """Return the newest membership in the own log, where there is one."""
        state = self._driver.state
        return state.membership if state.memberships else None

    def answer(self) -> HelloAnswer:
        """Return what this node tells of itself."""
        return HelloAnswer(
            sender=self._own,
            membership=self.known_membership(),
            leader=self._driver.state.leader,
        )

    async def async_run(self) -> None:
        """Ask the others whenever this node is no member or knows no leader."""
        self._began_at = self._driver.now()
        while True:
            if self._is_outside():
                await self._async_step()
            jitter = self._random.uniform(0.75, 1.25)
            await asyncio.sleep(const.HELLO_INTERVAL_S * jitter)

    def _is_outside(self) -> bool:
        state = self._driver.state
        if state.role is NodeRole.LEADER:
            return False
        is_member = state.membership.has(self._own.replica)
        return not is_member or state.leader is None

    async def _async_step(self) -> None:
        known = self.known_membership()
        peers = {*self._initial, *self._contacts}
        if known is not None:
            peers.update(member.id for member in known.members())
        peers.discard(self._own.id)
        answer_by_instance = await self._async_ask(sorted(peers))
        if not self._is_outside():
            return
        for answer in answer_by_instance.values():
            if answer.membership is not None:
                self._on_membership(answer.membership)
        decision = bootstrap.decide(
            own=self._own,
            known=self.known_membership(),
            initial=self._initial,
            answer_by_instance=answer_by_instance,
            may_join=self._may_join,
            waited_s=self._waited_s(),
        )
        await self._async_follow(decision)

    def _waited_s(self) -> float | None:
        if self._founder is None:
            return None
        return self._driver.now() - self._began_at

    async def _async_ask(
        self, peers: Sequence[InstanceId]
    ) -> dict[InstanceId, HelloAnswer]:
        hello = Hello(sender=self._own)
        replies = await asyncio.gather(
            *(
                self._network.async_request(peer, hello, const.HELLO_TIMEOUT_S)
                for peer in peers
            )
        )
        answer_by_instance = {}
        for peer, reply in zip(peers, replies, strict=True):
            match reply:
                case Result(tag="ok", ok=HelloAnswer() as answer):
                    answer_by_instance[peer] = answer
        return answer_by_instance

    async def _async_follow(self, decision: Decision) -> None:
        if decision.step is Step.FOUND and decision.membership is not None:
            self.found(decision.membership)
        elif decision.step is Step.REJOIN:
            await self._async_rejoin(decision.leaders)
        elif decision.step is Step.PROPOSE and self._founder is not None:
            membership = await self._founder.async_propose()
            if membership is not None:
                self.found(membership)

    def found(self, membership: Membership) -> None:
        """Start with the first membership, unless one is known or it names others.

        :param membership: The membership.
        """
        driver = self._driver
        if self.known_membership() is not None or not membership.has(self._own.replica):
            return
        voters = [member.id for member in membership.voters]
        _LOGGER.info("first membership", voters=voters)
        driver.perform(driver.node.found(membership, driver.now()))

    async def _async_rejoin(self, leaders: Sequence[InstanceId]) -> None:
        for leader in leaders:
            reply = await self._network.async_request(
                leader, Rejoin(member=self._own), const.HELLO_TIMEOUT_S
            )
            match reply:
                case Result(tag="ok", ok=Answer(code=0)):
                    _LOGGER.info("admitted as a learner", leader=leader)
                    return
                case Result(tag="ok", ok=Answer() as answer):
                    _LOGGER.warning(
                        "not admitted", code=answer.code, detail=answer.detail
                    )
