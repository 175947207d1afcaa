"""Delivery of the configuration by a control instance."""

import asyncio
import random
from dataclasses import dataclass, field, replace

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
from mothshunt.configuration.service import Item
from mothshunt.configuration.state import ReplicatedConfiguration
from mothshunt.configuration.store import ItemStore
from mothshunt.consensus.model import ReplicatedLog
from mothshunt.core.clock import Clock
from mothshunt.core.network import PeerNetwork
from mothshunt.core.types import InstanceId, LogIndex, Revision
from mothshunt.helpers.tasks import async_cancel, start_background
from mothshunt.routing.workspaces import without_document

#: Age that beats carry until a majority has confirmed this instance once.
NEVER_CONFIRMED_AGE_MS = 3_600_000


@dataclass(slots=True, eq=False)
class ConfigurationPublisher:
    """Sender of changes and beats to the instances that subscribe at this one.

    :param state: State machine with the replicated configuration.
    :param log: Replicated log whose commands ``state`` applies.
    :param holder: Configuration in force at this instance.
    :param network: Network for messages to the subscribers.
    :param clock: Source of the monotonic time.
    """

    state: ReplicatedConfiguration
    log: ReplicatedLog
    holder: ConfigurationHolder
    network: PeerNetwork
    clock: Clock
    #: Items that are sent to subscribers; those of operators, and the keys of
    #: workspaces, stay at the control instances.
    delivered: ItemStore = field(default_factory=ItemStore)
    #: Newest revision sent to each subscriber that gets changes at once.
    revision_by_subscriber: dict[InstanceId, Revision] = field(default_factory=dict)
    #: All subscribers; each gets beats.
    subscribers: set[InstanceId] = field(default_factory=set)
    confirmed_at: float | None = None
    #: Deltas up to the current revision, so that all who lack the same share one.
    _delta_by_range: dict[tuple[Revision, bool], Delta] = field(default_factory=dict)
    _task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Register the message handlers and start to send beats."""
        self.log.on_applied(self._on_applied)
        self.network.on_message(Subscribe, self._on_subscribe)
        self.network.on_message(DeltaRequest, self._on_delta_request)
        self.network.on_request(ConfirmedRevisionRequest, self._async_confirm)
        self._task = start_background("configuration-beat", self._async_send_beats)

    async def async_stop(self) -> None:
        """Stop sending beats."""
        await async_cancel(self._task)

    def confirmed_age_ms(self, now: float) -> int:
        """Return the time since a majority confirmed this instance, in milliseconds.

        :param now: Monotonic time, in seconds.
        """
        if self.confirmed_at is None:
            return NEVER_CONFIRMED_AGE_MS
        return int((now - self.confirmed_at) * 1000)

    def remove_subscriber(self, subscriber: InstanceId) -> None:
        """Send no more changes or beats to an instance.

        :param subscriber: Name of the instance.
        """
        self.revision_by_subscriber.pop(subscriber, None)
        self.subscribers.discard(subscriber)

    def _on_applied(self, index: LogIndex) -> None:
        if self.state.store.revision == self.delivered.revision:
            return
        for item in self.state.store.changed_since(self.delivered.revision):
            if item.key.section is not Section.OPERATOR:
                self.delivered.put(_delivered_item(item))
        for key in self.delivered.item_by_key.keys() - self.state.store.item_by_key:
            self.delivered.purge(key)
        self.delivered.revision = self.state.store.revision
        self._delta_by_range.clear()
        self.holder.put_in_force(self.delivered)
        self._push_all()

    def _on_subscribe(self, peer: InstanceId, message: Subscribe) -> None:
        self.subscribers.add(peer)
        if not message.wants_changes:
            self.revision_by_subscriber.pop(peer, None)
            self.network.post(peer, self._build_beat())
            return
        is_queued = self._post_delta(peer, message.revision, is_whole=message.is_whole)
        self.revision_by_subscriber[peer] = (
            self.delivered.revision if is_queued else message.revision
        )

    def _on_delta_request(self, peer: InstanceId, message: DeltaRequest) -> None:
        self._post_delta(peer, message.revision, is_whole=message.is_whole)

    def _post_delta(self, peer: InstanceId, since: Revision, *, is_whole: bool) -> bool:
        since = NO_REVISION if is_whole else since
        return self.network.post(peer, self._build_delta(since, is_whole=is_whole))

    def _push_all(self) -> None:
        """Send each subscriber the changes that it has not been sent.

        A delta that a full send queue drops is sent again with the next beat.
        """
        newest = self.delivered.revision
        subscribers_by_revision: dict[Revision, list[InstanceId]] = {}
        for subscriber, revision in self.revision_by_subscriber.items():
            if revision < newest:
                subscribers_by_revision.setdefault(revision, []).append(subscriber)
        for since, subscribers in subscribers_by_revision.items():
            delta = self._build_delta(since, is_whole=False)
            dropped = self.network.post_all(subscribers, delta)
            for subscriber in set(subscribers).difference(dropped):
                self.revision_by_subscriber[subscriber] = newest

    def _build_delta(self, since: Revision, *, is_whole: bool) -> Delta:
        delta = self._delta_by_range.get((since, is_whole))
        if delta is None:
            delta = Delta(
                from_revision=since,
                to_revision=self.delivered.revision,
                digest=self.delivered.digest,
                items=self.delivered.changed_since(since),
                is_whole=is_whole,
            )
            self._delta_by_range[since, is_whole] = delta
        return delta

    async def _async_confirm(
        self, peer: InstanceId, message: ConfirmedRevisionRequest
    ) -> ConfirmedRevision:
        match await self.log.async_read_barrier(const.CONFIRM_TIMEOUT_S):
            case Result(tag="ok"):
                return ConfirmedRevision(revision=self.state.store.revision)
            case _:
                return ConfirmedRevision(revision=None)

    async def _async_send_beats(self) -> None:
        while True:
            started_at = self.clock.monotonic()
            result = await self.log.async_read_barrier(const.CONFIRM_TIMEOUT_S)
            if result.is_ok():
                self.confirmed_at = started_at
                self.holder.record_confirmation(self.delivered.revision, started_at)
            self.send_beats()
            await asyncio.sleep(const.BEAT_INTERVAL_S * random.uniform(0.8, 1.2))

    def send_beats(self) -> None:
        """Send a beat to each subscriber, after what it has not been sent."""
        self._push_all()
        self.network.post_all(self.subscribers, self._build_beat())

    def _build_beat(self) -> Beat:
        return Beat(
            revision=self.delivered.revision,
            digest=self.delivered.digest,
            confirmed_age_ms=self.confirmed_age_ms(self.clock.monotonic()),
        )


def _delivered_item(item: Item) -> Item:
    if item.key.section is not Section.WORKSPACE or item.value is None:
        return item
    return replace(item, value=without_document(item.value))
