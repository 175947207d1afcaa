"""Administration servers over a configuration kept in memory."""

import http.client
import json
from types import SimpleNamespace
from urllib.parse import urlencode

from mothshunt.access.token import token_sha256
from mothshunt.admin.api import api_routes, routed_api_routes
from mothshunt.admin.coordinator import AdminServer, Operations
from mothshunt.admin.entries import EntryHandlers
from mothshunt.admin.targets import TargetHandlers
from mothshunt.configuration.coordinator import ConfigurationCoordinator
from mothshunt.configuration.state import ReplicatedConfiguration
from mothshunt.core.clock import SystemClock
from mothshunt.core.types import Role
from mothshunt.lookup.directory import EntryLookup
from mothshunt.membership.roster import RosterTable
from mothshunt.metrics.registry import Metrics
from mothshunt.rate_limit.state import RateLimits
from mothshunt.receipt.coordinator import CallReceiver
from mothshunt.registry.coordinator import RegistryFollower, RegistryPublisher
from mothshunt.registry.intake import TargetIntake
from mothshunt.routing.coordinator import RoutingCoordinator
from mothshunt.settings.config import (
    Address,
    ControlPeer,
    InstanceSettings,
    ListenSettings,
    RoutingSettings,
    Settings,
)
from testkit.loop_thread import LoopThread
from tests.support.admin_fakes import FakeLog, FakeSource, FakeStatus, FakeTargets
from tests.support.recording_network import RecordingNetwork

BOOTSTRAP_TOKEN = "bootstrap-token"
FREE_PORT = 0


def settings(*roles):
    """Return settings whose ports are taken free."""
    address = Address(host="127.0.0.1", port=FREE_PORT)
    return Settings(
        instance=InstanceSettings(
            id="a1", region="north", availability_zone="north-a", roles=roles
        ),
        listen=ListenSettings(traffic=address, admin=address, peer=address),
        control=(ControlPeer(id="a1", host="127.0.0.1", port=1),),
        deployment_key="k" * 32,
        bootstrap_token_sha256=token_sha256(BOOTSTRAP_TOKEN),
    )


class AdminDeployment:
    """Run administration servers that share one configuration."""

    def __init__(self, stack, clock=None, *, is_routed=False):
        self.is_routed = is_routed
        self.clock = clock or SystemClock()
        self.loop = LoopThread()
        stack.callback(self.loop.close)
        self._stack = stack
        self.state = ReplicatedConfiguration()
        self.log = FakeLog(self.state)
        self.status = FakeStatus(self.state)
        self.source = FakeSource(self.state)
        self.targets = FakeTargets()
        self.metrics = Metrics()
        self.receiver = CallReceiver(self.clock, lambda: self.state.store.revision)
        self.ready = True
        self.token = BOOTSTRAP_TOKEN

    def start(self, *roles):
        """Start a server and return its port."""
        roles = roles or (Role.ENTRY, Role.CONTROL)
        is_control = Role.CONTROL in roles
        configuration = ConfigurationCoordinator(self.state, self.log)
        server = AdminServer(
            settings=settings(*roles),
            operations=self.operations(configuration) if is_control else None,
            source=self.source,
            metrics=self.metrics,
            is_ready=lambda: self.ready,
            clock=self.clock,
        )
        self.loop.run(self.receiver.async_start())
        self._stack.callback(lambda: self.loop.run(self.receiver.async_stop()))
        self.loop.run(server.async_start())
        self._stack.callback(lambda: self.loop.run(server.async_stop()))
        return server.port

    def operations(self, configuration):
        """Return the operations of a deployment, whichever way it routes."""
        if self.is_routed:
            return self.routed_operations(configuration)
        routes = api_routes(
            instance="a1",
            configuration=configuration,
            status=self.status,
            source=self.source,
            log=self.log,
            targets=self.targets,
            clock=self.clock,
        )
        return Operations(
            configuration=configuration,
            routes=routes,
            receiver=self.receiver,
        )

    def routed_operations(self, configuration):
        routing = RoutingCoordinator(self.state, self.log)
        publisher = RegistryPublisher(
            network=RecordingNetwork(),
            clock=self.clock,
            follower=RegistryFollower(RecordingNetwork(), self.clock, 1.5),
            entries=lambda: (),
            primary_entries=lambda: (),
            control_peers=lambda: (),
        )
        intake = TargetIntake(publisher, routing)
        # What the platform's calls need of a control instance.
        self.control = SimpleNamespace(
            routing=routing, intake=intake, receiver=self.receiver
        )
        targets = TargetHandlers(
            intake=intake,
            rate_limits=RateLimits(),
            settings=RoutingSettings(),
            clock=self.clock,
        )
        routes = routed_api_routes(
            instance="a1",
            configuration=configuration,
            status=self.status,
            source=self.source,
            log=self.log,
            routing=routing,
            targets=targets,
            entries=EntryHandlers(
                EntryLookup(RosterTable(), 2.0, self.metrics), self.clock
            ),
        )
        return Operations(
            configuration=configuration,
            routes=routes,
            receiver=self.receiver,
        )


def ask(port, method, path, query=None, body=None, token=None):
    """Send one request; return status, headers and JSON document."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
    separator = "&" if "?" in path else "?"
    target = f"{path}{separator}{urlencode(query)}" if query else path
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    if body is not None and not isinstance(body, bytes):
        body = json.dumps(body).encode()
    try:
        connection.request(method, target, body=body, headers=headers)
        response = connection.getresponse()
        text = response.read()
    finally:
        connection.close()
    is_json = response.getheader("Content-Type", "").startswith("application/json")
    return response.status, response.headers, json.loads(text) if is_json else text
