"""Entry and control parts of the rate_limit slice, with simulated streams."""

import asyncio

from expression import Error, Ok

from mothshunt.core.codes import Failure
from mothshunt.core.types import Incarnation
from mothshunt.helpers.peer import codes as peer_codes
from mothshunt.metrics.registry import Metrics
from mothshunt.placement.model import Choice
from mothshunt.rate_limit.limiter import RateLimiter
from mothshunt.rate_limit.state import TokenIssuer
from mothshunt.rate_limit.token_service import TokenService
from tests.support.placement_world import target
from tests.support.recording_network import ManualClock

CONTROL = "c1"


class SimulatedStreams:
    """Streams of one instance; all messages arrive at once.

    :param exchange: The instances.
    :param own_id: Name of this instance.
    """

    def __init__(self, exchange, own_id):
        self.exchange, self.own_id = exchange, own_id
        self.handler_by_class, self.request_handler_by_class = {}, {}

    def post(self, peer, message):
        handler = self.exchange.streams_by_id[peer].handler_by_class.get(type(message))
        if handler is not None and not self.exchange.is_cut:
            handler(self.own_id, message)
        return True

    def post_all(self, peers, message):
        return [peer for peer in peers if not self.post(peer, message)]

    async def async_request(self, peer, message, timeout_s):
        if self.exchange.is_cut:
            self.exchange.clock.now += timeout_s
            await asyncio.sleep(0)
            return Error(Failure(code=peer_codes.NO_ANSWER, detail=peer))
        streams = self.exchange.streams_by_id[peer]
        handler = streams.request_handler_by_class[type(message)]
        return Ok(await handler(self.own_id, message))

    def on_message(self, cls, handler):
        self.handler_by_class[cls] = handler

    def on_request(self, cls, handler):
        self.request_handler_by_class[cls] = handler


class LimitExchange:
    """One control instance and some entry instances.

    :param entries: Names of the entry instances.
    """

    def __init__(self, entries):
        self.clock, self.is_cut = ManualClock(), False
        self.streams_by_id, self.limiter_by_entry = {}, {}
        self.target_by_name = {}
        self.tokens = TokenService(
            network=self._streams(CONTROL),
            control_count=lambda: 1,
            entries=lambda: entries,
            known=self.incarnation,
            clock=self.clock,
            metrics=Metrics(),
            issuer=TokenIssuer(0.25),
        )

    def _streams(self, name):
        self.streams_by_id[name] = SimulatedStreams(self, name)
        return self.streams_by_id[name]

    async def async_start(self, entries):
        await self.tokens.async_start()
        for entry in entries:
            await self.async_start_entry(entry)

    async def async_start_entry(self, entry):
        limiter = RateLimiter(
            network=self._streams(entry),
            controls=lambda: (CONTROL,),
            known=self.incarnation,
            clock=self.clock,
            metrics=Metrics(),
        )
        self.limiter_by_entry[entry] = limiter
        await limiter.async_start()
        self.tokens.send_limits(entry)

    def incarnation(self, name):
        for held in self.target_by_name.values():
            if held.id == name:
                return held.incarnation
        return None

    async def async_stop(self):
        await self.tokens.async_stop()
        for limiter in self.limiter_by_entry.values():
            await limiter.async_stop()

    def add_target(self, name):
        self.target_by_name[name] = target(len(self.target_by_name), 4)

    def restart_target(self, name):
        held = self.target_by_name[name]
        self.target_by_name[name] = type(held)(
            **{
                field: getattr(held, field)
                for field in held.__slots__
                if field != "incarnation"
            },
            incarnation=Incarnation(held.incarnation + 1),
        )

    def choose(self, name):
        return Choice(
            target=self.target_by_name[name],
            sent_at=self.clock.now,
            load=1.0,
            reason="test",
        )
