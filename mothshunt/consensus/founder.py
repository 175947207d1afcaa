"""Task side of the founding: the durable record, and proposals to the others."""

import asyncio
from collections.abc import Sequence

from expression import Result

from mothshunt.consensus import const, founding
from mothshunt.consensus.disk import DiskWriter
from mothshunt.consensus.founding import FoundingRecord
from mothshunt.consensus.log_events import FoundingProposed
from mothshunt.consensus.messages import (
    NO_BALLOT,
    Ballot,
    Founded,
    FoundingAccept,
    FoundingAnswer,
    FoundingPrepare,
)
from mothshunt.consensus.voters import Member, Membership
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId
from mothshunt.helpers import log
from mothshunt.helpers.log import get_logger

_LOGGER = get_logger("consensus")


class Founder:
    """Take part in the founding of the log.

    :param own: This instance.
    :param record: What the data folder holds of the founding, where it does.
    :param writer: Keeps the record.
    :param network: Streams to the other instances.
    """

    def __init__(
        self,
        *,
        own: Member,
        record: FoundingRecord | None,
        writer: DiskWriter,
        network: PeerNetwork,
    ) -> None:
        self._own = own
        self._record = record
        self._writer = writer
        self._network = network
        self._highest_seen = NO_BALLOT
        # A record is kept before the next step is decided on.
        self._lock = asyncio.Lock()

    @property
    def initial(self) -> tuple[InstanceId, ...]:
        """Return the instances that may found the log; none where this one may not."""
        return self._record.initial if self._record is not None else ()

    async def async_begin(self, initial: Sequence[InstanceId]) -> None:
        """Keep, at the first start, that this instance may found the log.

        :param initial: Instances that may, by the settings.
        :raises OSError: When the record can't be kept.
        """
        if self._record is None and initial:
            record = FoundingRecord(initial=tuple(sorted(initial)))
            await self._writer.async_keep_founding(record)
            self._record = record

    async def async_answer(
        self, request: FoundingPrepare | FoundingAccept
    ) -> FoundingAnswer:
        """Answer one step of a proposal, once the record of it is kept.

        :param request: The step.
        """
        async with self._lock:
            self._highest_seen = max(self._highest_seen, request.ballot)
            record, answer = founding.answer(self._record, self._own, request)
            if record is None or record == self._record:
                return answer
            try:
                await self._writer.async_keep_founding(record)
            except OSError as error:
                _LOGGER.error("the founding can't be recorded", error=str(error))
                return FoundingAnswer(sender=self._own, is_granted=False)
            self._record = record
            return answer

    async def async_propose(self) -> Membership | None:
        """Propose a founding membership.

        :return: The membership once a majority has accepted it; ``None`` otherwise.
        """
        record = self._record
        if record is None:
            return None
        ballot = founding.next_ballot(
            self._own.id, (record.promised, self._highest_seen)
        )
        prepare = FoundingPrepare(initial=record.initial, ballot=ballot)
        promises = await self._async_ask(prepare)
        if not founding.is_majority(len(promises), record.initial):
            self._tell(ballot, promises, None, is_chosen=False)
            return None
        membership = founding.choose(promises)
        accept = FoundingAccept(
            initial=record.initial, ballot=ballot, membership=membership
        )
        accepted = await self._async_ask(accept)
        is_chosen = founding.is_majority(len(accepted), record.initial)
        self._tell(ballot, accepted, membership, is_chosen=is_chosen)
        if not is_chosen:
            return None
        for instance in record.initial:
            if instance != self._own.id:
                self._network.post(instance, Founded(membership=membership))
        return membership

    async def _async_ask(
        self, request: FoundingPrepare | FoundingAccept
    ) -> list[FoundingAnswer]:
        """Return the answers that grant a step; none where this instance refuses."""
        # Kept here first, so that no ballot is used twice.
        own = await self.async_answer(request)
        if not own.is_granted:
            return []
        others = [instance for instance in self.initial if instance != self._own.id]
        answers = await asyncio.gather(
            *(self._async_ask_one(instance, request) for instance in others)
        )
        for answer in answers:
            if answer is not None:
                self._highest_seen = max(self._highest_seen, answer.promised)
        return [own, *(a for a in answers if a is not None and a.is_granted)]

    async def _async_ask_one(
        self, instance: InstanceId, request: FoundingPrepare | FoundingAccept
    ) -> FoundingAnswer | None:
        reply = await self._network.async_request(
            instance, request, const.HELLO_TIMEOUT_S
        )
        match reply:
            case Result(tag="ok", ok=FoundingAnswer() as answer):
                return answer
        return None

    def _tell(
        self,
        ballot: Ballot,
        answers: Sequence[FoundingAnswer],
        membership: Membership | None,
        *,
        is_chosen: bool,
    ) -> None:
        log.write(
            FoundingProposed(
                round=ballot.round,
                granted_by=tuple(answer.sender.id for answer in answers),
                voters=tuple(m.id for m in membership.voters) if membership else (),
                is_chosen=is_chosen,
            )
        )
