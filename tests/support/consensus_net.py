"""Control instances in one process, with streams that are plain function calls."""

import asyncio
import tempfile
from pathlib import Path
from random import Random

import msgpack
from expression import Error, Ok

from mothshunt.consensus.config import ConsensusConfig
from mothshunt.consensus.coordinator import ConsensusCoordinator
from mothshunt.core.clock import SystemClock
from mothshunt.core.codes import Failure, ResultCode
from mothshunt.core.types import LogIndex
from mothshunt.metrics.registry import Metrics
from mothshunt.settings.config import Settings
from mothshunt.util import schema, wire

NO_STREAM = ResultCode(
    number=1105, name="peer_unreachable", http_status=503, summary="", action=""
)
NO_ANSWER = ResultCode(
    number=1106, name="peer_silent", http_status=504, summary="", action=""
)
SEED = 4
CONFIG = ConsensusConfig(
    heartbeat_s=0.15,
    election_min_s=0.7,
    election_max_s=1.4,
    snapshot_after_entries=100,
    keep_entries=20,
)


class FakeHub:
    """Connect networks; between cut pairs all is lost and no stream closes."""

    def __init__(self):
        self.network_by_id = {}
        self.cut = set()

    def has_stream(self, source, destination):
        return {source, destination} <= self.network_by_id.keys()

    def reaches(self, source, destination):
        pair = frozenset((source, destination))
        return self.has_stream(source, destination) and pair not in self.cut

    def isolate(self, instance, others):
        self.cut |= {frozenset((instance, other)) for other in others}


class FakeNetwork:
    """Implement ``PeerNetwork`` between instances of one process."""

    def __init__(self, hub, instance):
        self.hub = hub
        self.instance = instance
        self.handler_by_class = {}
        self.request_handler_by_class = {}

    def post(self, peer, message):
        if not self.hub.has_stream(self.instance, peer):
            return False
        data = wire.pack(message)
        asyncio.get_running_loop().call_soon(self._deliver, peer, data)
        return True

    def _deliver(self, peer, data):
        if not self.hub.reaches(self.instance, peer):
            return
        message = wire.unpack(data).ok
        network = self.hub.network_by_id[peer]
        network.handler_by_class[type(message)](self.instance, message)

    async def async_request(self, peer, message, timeout_s):
        if not self.hub.has_stream(self.instance, peer):
            return Error(Failure(code=NO_STREAM))
        if not self.hub.reaches(self.instance, peer):
            await asyncio.sleep(timeout_s)
            return Error(Failure(code=NO_ANSWER))
        network = self.hub.network_by_id[peer]
        handler = network.request_handler_by_class.get(type(message))
        if handler is None:
            return Error(Failure(code=NO_ANSWER))
        request = wire.unpack(wire.pack(message)).ok
        try:
            reply = await asyncio.wait_for(handler(self.instance, request), timeout_s)
        except TimeoutError:
            return Error(Failure(code=NO_ANSWER))
        if not self.hub.reaches(self.instance, peer):
            await asyncio.sleep(timeout_s)
            return Error(Failure(code=NO_ANSWER))
        return Ok(wire.unpack(wire.pack(reply)).ok)

    def on_message(self, cls, handler):
        self.handler_by_class[cls] = handler

    def on_request(self, cls, handler):
        self.request_handler_by_class[cls] = handler

    def connected(self):
        others = self.hub.network_by_id
        return frozenset(o for o in others if self.hub.has_stream(self.instance, o))


class CommandList:
    """Keep all commands in order."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command)
        return b"applied " + command

    def snapshot(self):
        return msgpack.packb(self.commands)

    def restore(self, index, snapshot):
        assert index > LogIndex(0)
        self.commands = msgpack.unpackb(snapshot)


class Deployment:
    """Run control instances on folders of their own."""

    def __init__(self, stack, names, config=CONFIG):
        self.hub = FakeHub()
        self.names = names
        self.config = config
        self.folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self.number = 0
        self.coordinator_by_id = {}
        self.commands_by_id = {}
        self.metrics_by_id = {}
        self.loop = asyncio.new_event_loop()
        stack.callback(self.loop.close)
        stack.callback(lambda: self.run(self.async_stop_all()))
        print(f"seed of the election timeouts: {SEED}")

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def settings(self, name, control):
        number = sorted({*self.names, name}).index(name)
        address = {"host": "127.0.0.1", "port": 9000 + number}
        document = {
            "instance": {
                "id": name,
                "region": "north",
                "availability_zone": "north-a",
                "roles": ["control"],
            },
            "listen": {"admin": address, "peer": address},
            "control": [
                {"id": other, "host": "127.0.0.1", "port": 9000 + position}
                for position, other in enumerate(control)
            ],
            "deployment_key": "k" * 32,
            "data_folder": str(self.folder / name),
            "bootstrap_token_sha256": "0" * 64,
        }
        return schema.from_plain(Settings, document).ok

    async def async_start(self, name, seeds=None, *, may_found=True):
        network = FakeNetwork(self.hub, name)
        commands = CommandList()
        metrics = Metrics()
        self.number += 1
        coordinator = ConsensusCoordinator.from_config(
            settings=self.settings(name, seeds or self.names),
            network=network,
            state_machine=commands,
            clock=SystemClock(),
            metrics=metrics,
            config=self.config,
            random=Random(f"{SEED}/{name}/{self.number}"),
            may_found=may_found,
        )
        self.hub.network_by_id[name] = network
        self.coordinator_by_id[name] = coordinator
        self.commands_by_id[name] = commands
        self.metrics_by_id[name] = metrics
        await coordinator.async_start()

    async def async_kill(self, name):
        """Stop without any farewell: nothing sent after this leaves the instance."""
        del self.hub.network_by_id[name]
        coordinator = self.coordinator_by_id.pop(name)
        await coordinator.async_stop()

    async def async_stop(self, name):
        await self.coordinator_by_id.pop(name).async_stop()
        del self.hub.network_by_id[name]

    async def async_stop_all(self):
        for name in list(self.coordinator_by_id):
            await self.async_kill(name)

    async def async_until(self, condition, timeout_s=20.0):
        deadline = self.loop.time() + timeout_s
        while not condition():
            assert self.loop.time() < deadline, self.describe()
            await asyncio.sleep(0.02)

    def describe(self):
        return {
            name: (c.status(), len(self.commands_by_id[name].commands))
            for name, c in self.coordinator_by_id.items()
        }

    def leader(self):
        self.run(self.async_until(lambda: len(self.leaders()) == 1))
        return self.leaders()[0]

    def follower(self):
        leader = self.leader()
        return next(name for name in self.coordinator_by_id if name != leader)

    def leaders(self):
        return [
            name
            for name, coordinator in self.coordinator_by_id.items()
            if coordinator.status().state == "leader"
        ]
