"""Delivery of the configuration by a control instance."""

import asyncio
import random
from dataclasses import dataclass, field

from expression import Result

from mothshunt.configuration import const
from mothshunt.configuration.delivery import (
    Beat,
    ConfirmedRevision,
    ConfirmedRevisionRequest,
    Delta,
    DeltaRequest,
    Subscribe,
)
from mothshunt.configuration.holder import ConfigurationHolder
from mothshunt.configuration.model import NO_REVISION, Section
from mothshunt.configuration.state import ReplicatedConfiguration
from mothshunt.configuration.store import ItemStore
from mothshunt.consensus.model import ReplicatedLog
from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId, LogIndex, Revision
from mothshunt.helpers.tasks import async_cancel, start_background

NEVER_CONFIRMED_AGE_MS = 3_600_000


@dataclass(slots=True, eq=False)
class ConfigurationPublisher:
    """Push each accepted change to the instances that subscribed here.

    :param state: The replicated configuration.
    :param log: The replicated log that it is applied from.
    :param holder: The configuration in force at this instance.
    :param network: Streams to the subscribers.
    :param clock: Source of the present time.
    """

    state: ReplicatedConfiguration
    log: ReplicatedLog
    holder: ConfigurationHolder
    network: PeerNetwork
    clock: Clock
    #: Items that are delivered; operators stay at the control instances.
    delivered: ItemStore = field(default_factory=ItemStore)
    #: Those that are told of each change at once.
    revision_by_subscriber: dict[InstanceId, Revision] = field(default_factory=dict)
    #: All that are told beats.
    subscribers: set[InstanceId] = field(default_factory=set)
    confirmed_at: float | None = None
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Begin to deliver."""
        self.log.on_applied(self._on_applied)
        self.network.on_message(Subscribe, self._on_subscribe)
        self.network.on_message(DeltaRequest, self._on_request)
        self.network.on_request(ConfirmedRevisionRequest, self._async_confirm)
        self._task = start_background("configuration-beat", self._async_beat)

    async def async_stop(self) -> None:
        """End delivery."""
        await async_cancel(self._task)

    def confirmed_age_ms(self, now: float) -> int:
        """Return the time since a majority confirmed this instance, in milliseconds.

        :param now: Monotonic time, in seconds.
        """
        if self.confirmed_at is None:
            return NEVER_CONFIRMED_AGE_MS
        return int((now - self.confirmed_at) * 1000)

    def forget(self, subscriber: InstanceId) -> None:
        """Deliver no more to an instance.

        :param subscriber: Name of the instance.
        """
        self.revision_by_subscriber.pop(subscriber, None)
        self.subscribers.discard(subscriber)

    def _on_applied(self, index: LogIndex) -> None:
        if self.state.store.revision == self.delivered.revision:
            return
        for item in self.state.store.changed_since(self.delivered.revision):
            if item.key.section is not Section.OPERATOR:
                self.delivered.put(item)
        for key in self.delivered.item_by_key.keys() - self.state.store.item_by_key:
            self.delivered.forget(key)
        self.delivered.revision = self.state.store.revision
        self.holder.put_in_force(self.delivered)
        self._push_all()

    def _on_subscribe(self, peer: InstanceId, message: Subscribe) -> None:
        self.subscribers.add(peer)
        if not message.wants_changes:
            self.revision_by_subscriber.pop(peer, None)
            self.network.post(peer, self._beat())
            return
        self.revision_by_subscriber[peer] = self.delivered.revision
        self._send(peer, message.revision, is_whole=message.is_whole)

    def _on_request(self, peer: InstanceId, message: DeltaRequest) -> None:
        self._send(peer, message.revision, is_whole=message.is_whole)

    def _send(self, peer: InstanceId, since: Revision, *, is_whole: bool) -> None:
        since = NO_REVISION if is_whole else since
        self.network.post(peer, self._delta(since, is_whole=is_whole))

    def _push_all(self) -> None:
        """Send each subscriber what it lacks; the same delta is made only once.

        A delta that a full queue does not take is repaired after the next beat.
        """
        subscribers_by_revision: dict[Revision, list[InstanceId]] = {}
        for subscriber, revision in self.revision_by_subscriber.items():
            subscribers_by_revision.setdefault(revision, []).append(subscriber)
        for since, subscribers in subscribers_by_revision.items():
            self.network.post_all(subscribers, self._delta(since, is_whole=False))
        for subscriber in self.revision_by_subscriber:
            self.revision_by_subscriber[subscriber] = self.delivered.revision

    def _delta(self, since: Revision, *, is_whole: bool) -> Delta:
        return Delta(
            from_revision=since,
            to_revision=self.delivered.revision,
            digest=self.delivered.digest,
            items=self.delivered.changed_since(since),
            is_whole=is_whole,
        )

    async def _async_confirm(
        self, peer: InstanceId, message: ConfirmedRevisionRequest
    ) -> ConfirmedRevision:
        match await self.log.async_read_barrier(const.CONFIRM_TIMEOUT_S):
            case Result(tag="ok"):
                return ConfirmedRevision(revision=self.state.store.revision)
            case _:
                return ConfirmedRevision(revision=None)

    async def _async_beat(self) -> None:
        while True:
            asked_at = self.clock.monotonic()
            result = await self.log.async_read_barrier(const.CONFIRM_TIMEOUT_S)
            if result.is_ok():
                self.confirmed_at = asked_at
            self.network.post_all(self.subscribers, self._beat())
            await asyncio.sleep(const.BEAT_INTERVAL_S * random.uniform(0.8, 1.2))

    def _beat(self) -> Beat:
        return Beat(
            revision=self.delivered.revision,
            digest=self.delivered.digest,
            confirmed_age_ms=self.confirmed_age_ms(self.clock.monotonic()),
        )
