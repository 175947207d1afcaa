"""Renewal of leased shares at entry instances, and their grant at control instances."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from expression import Result

from mothshunt.configuration.model import Configuration, ConfigurationSource
from mothshunt.consensus.model import ReplicatedLog
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.network import ControlConnection, PeerNetwork
from mothshunt.core.types import Incarnation, InstanceId, RegionId, Term
from mothshunt.helpers.log import get_logger
from mothshunt.limits import codes
from mothshunt.limits.const import (
    CANCELLATION_TIME_S,
    CONFIRM_TIMEOUT_S,
    MIN_RENEWAL_INTERVAL_S,
    RENEWAL_INTERVAL_S,
    RENEWAL_JITTER_RATIO,
    RENEWAL_TIMEOUT_S,
)
from mothshunt.limits.grantor import LeaseGrantor
from mothshunt.limits.holder import LeaseHolder
from mothshunt.limits.messages import Grant, Renewal, RenewalRefused
from mothshunt.limits.model import LimitKey
from mothshunt.limits.shares import limit_by_key, static_share
from mothshunt.metrics.registry import Metrics

_LOGGER = get_logger("limits")


class LeaseHolderCoordinator:
    """Periodic renewal of the leased shares of this entry instance.

    :param instance: Name of this instance.
    :param incarnation: Incarnation of this instance.
    :param region: Region of this instance.
    :param configuration: Source of the configuration in force.
    :param control: Connection to the control instances.
    :param clock: Source of the present time.
    :param metrics: Metrics of this process.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        incarnation: Incarnation,
        region: RegionId,
        configuration: ConfigurationSource,
        control: ControlConnection,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        earliest_start = clock.monotonic() + CANCELLATION_TIME_S
        self.holder = LeaseHolder(instance, incarnation, region, earliest_start)
        self._configuration = configuration
        self._control = control
        self._clock = clock
        self._metrics = metrics
        self._applied_configuration: Configuration | None = None
        self._renewal_requested = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []
        self._task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Start the task that renews the shares."""
        self.refresh()
        self._task = asyncio.create_task(self._async_run(), name="limits-holder")

    async def async_stop(self) -> None:
        """Stop the renewals; the shares expire with their lease."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None

    def refresh(self) -> None:
        """Apply the configuration in force if it has changed."""
        current = self._configuration.current()
        if current is self._applied_configuration:
            return
        self._applied_configuration = current
        record = current.instance_by_id.get(self.holder.instance)
        static_by_key = {
            key: static_share(key, limit, record)
            for key, limit in limit_by_key(current).items()
        }
        self.holder.configure(current.revision, static_by_key)
        for key in static_by_key:
            self._register_gauges(key)

    def request_renewal(self) -> None:
        """Send the next renewal as soon as the shortest interval has passed."""
        self._renewal_requested.set()

    def on_renewal_attempt(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called after each attempt to renew.

        :param listener: Called without arguments, in the event loop.
        """
        self._listeners.append(listener)

    async def _async_run(self) -> None:
        await asyncio.sleep(self.holder.earliest_start - self._clock.monotonic())
        while True:
            self._renewal_requested.clear()
            try:
                await self._async_renew()
            except Exception as error:
                # An unexpected error in one renewal must not end all later ones.
                _LOGGER.error("failed to renew the leased shares", error=repr(error))
            await asyncio.sleep(MIN_RENEWAL_INTERVAL_S)
            await self._async_wait_for_next()

    async def _async_wait_for_next(self) -> None:
        jitter = random.uniform(-RENEWAL_JITTER_RATIO, RENEWAL_JITTER_RATIO)
        pause = RENEWAL_INTERVAL_S * (1 + jitter) - MIN_RENEWAL_INTERVAL_S
        try:
            async with asyncio.timeout(pause):
                await self._renewal_requested.wait()
        except TimeoutError:
            return

    async def _async_renew(self) -> None:
        self.refresh()
        renewal = self.holder.prepare_renewal(self._clock.monotonic())
        result = await self._control.async_ask(renewal, RENEWAL_TIMEOUT_S)
        match result:
            case Result(tag="ok", ok=Grant() as grant):
                accepted = self.holder.accept(grant, self._clock.monotonic())
                self._count_renewal("accepted" if accepted else "late")
            case Result(tag="ok", ok=RenewalRefused() as refused):
                self._count_renewal(f"refused_{refused.code}")
            case Result(error=failure):
                self._count_renewal(f"failed_{failure.code.number}")
        for listener in self._listeners:
            listener()

    def _register_gauges(self, key: LimitKey) -> None:
        labels = {"customer": key.customer, "kind": key.kind.value, "limit": key.name}
        holder, clock = self.holder, self._clock
        self._metrics.gauge(
            "mothshunt_limit_share",
            lambda: holder.capacity(key, clock.monotonic()),
            **labels,
        )
        self._metrics.gauge(
            "mothshunt_limit_in_use", lambda: holder.in_use(key), **labels
        )

    def _count_renewal(self, outcome: str) -> None:
        self._metrics.count("mothshunt_limits_renewals_total", outcome=outcome)


class LeaseGrantorCoordinator:
    """Handling of renewals at a control instance: the leader grants, others forward.

    :param instance: Name of this instance.
    :param network: Streams to the other control instances.
    :param log: Replicated log.
    :param configuration: Source of the configuration in force.
    :param clock: Source of the present time.
    :param metrics: Metrics of this process.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        network: PeerNetwork,
        log: ReplicatedLog,
        configuration: ConfigurationSource,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._instance = instance
        self._network = network
        self._log = log
        self._configuration = configuration
        self._clock = clock
        self._metrics = metrics
        self._grantor: LeaseGrantor | None = None

    async def async_start(self) -> None:
        """Register the handler of renewals."""
        self._network.on_request(Renewal, self.async_handle)

    async def async_stop(self) -> None:
        """Discard the record of grants; after a restart it is rebuilt from renewals."""
        self._grantor = None

    async def async_handle(
        self, sender: InstanceId, renewal: Renewal
    ) -> Grant | RenewalRefused:
        """Return the answer to a renewal, from the leader if that is another instance.

        :param sender: Instance that sent it.
        :param renewal: The renewal.
        """
        leader = self._log.status().leader
        if leader == self._instance:
            return await self._async_grant(renewal)
        if leader is None or renewal.forwarded:
            return _refusal(renewal, Failure(code=codes.NOT_LEADER))
        forwarded = dataclasses.replace(renewal, forwarded=True)
        answer = await self._network.async_request(leader, forwarded, RENEWAL_TIMEOUT_S)
        match answer:
            case Result(tag="ok", ok=(Grant() | RenewalRefused()) as leader_answer):
                return leader_answer
            case Result(tag="ok"):
                return _refusal(renewal, Failure(code=codes.NOT_LEADER))
            case Result(error=failure):
                return _refusal(renewal, failure)

    async def _async_grant(self, renewal: Renewal) -> Grant | RenewalRefused:
        confirmed = await self._log.async_confirm_leadership(CONFIRM_TIMEOUT_S)
        match confirmed:
            case Result(tag="ok", ok=term):
                pass
            case Result(error=failure):
                return _refusal(renewal, failure)
        if self._grantor is None or self._grantor.term != term:
            # A new grantor needs a configuration that holds all earlier commits.
            barrier = await self._log.async_read_barrier(CONFIRM_TIMEOUT_S)
            if barrier.is_error() or self._log.status().term != term:
                return _refusal(renewal, Failure(code=codes.NOT_LEADER))
        return self._answer_as_leader(renewal, term)

    def _answer_as_leader(self, renewal: Renewal, term: Term) -> Grant | RenewalRefused:
        now = self._clock.monotonic()
        grantor = self._grantor
        if grantor is None or grantor.term < term:
            grantor = LeaseGrantor(term, now)
            self._grantor = grantor
        if grantor.term > term:
            return _refusal(renewal, Failure(code=codes.NOT_LEADER))
        grantor.configure(self._configuration.current())
        match grantor.grant(renewal, now):
            case Result(tag="ok", ok=grant):
                self._metrics.count("mothshunt_limits_grants_total", outcome="granted")
                return grant
            case Result(error=failure):
                name = failure.code.name
                self._metrics.count("mothshunt_limits_grants_total", outcome=name)
                return _refusal(renewal, failure)


def _refusal(renewal: Renewal, failure: Failure) -> RenewalRefused:
    return RenewalRefused(
        sequence=renewal.sequence, code=failure.code.number, detail=failure.detail
    )
