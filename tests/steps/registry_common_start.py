"""Steps for control instances that start at the same moment."""

from collections import Counter

from behave import given, then, when

from mothshunt.registry import const
from mothshunt.registry.coordinator import RegistryFollower, RegistryPublisher
from mothshunt.registry.messages import RegistryPulse, RegistryRequest, RegistryRows
from tests.steps.registry_pulses import INTERVAL_S, renewal
from tests.support.recording_network import ManualClock, RecordingNetwork

#: Delay of a message between two regions, in seconds.
DELAY_S = 0.04
#: Step of the simulated time, in seconds.
STEP_S = 0.02


class Mesh:
    """Simulated control instances whose messages arrive after a delay."""

    def __init__(self, count):
        self.clock = ManualClock(0.0)
        self.names = [f"c{number}" for number in range(count)]
        self.open_from = float("inf")
        self.renewals = []
        self.requests_by_pair = Counter()
        self.in_transit = []
        self.network_by_id = {name: RecordingNetwork() for name in self.names}
        self.publisher_by_id = {name: self.publisher(name) for name in self.names}

    def publisher(self, name):
        network = self.network_by_id[name]

        def peers():
            if self.clock.now < self.open_from:
                return []
            return [other for other in self.names if other != name]

        return RegistryPublisher(
            network=network,
            clock=self.clock,
            follower=RegistryFollower(
                network, self.clock, INTERVAL_S, asks_unsettled=True
            ),
            entries=lambda: (),
            primary_entries=lambda: (),
            control_peers=peers,
        )

    def run(self, until):
        while self.clock.now < until - 1e-9:
            now = round(self.clock.now + STEP_S, 3)
            was_open = self.clock.now >= self.open_from
            self.clock.now = now
            if now >= self.open_from and not was_open:
                self.send_first_pulses()
            self.take_renewals(now)
            for publisher in self.publisher_by_id.values():
                if self.is_due(now, const.FLUSH_INTERVAL_S):
                    publisher._flush(now)
                    publisher._update_settled(now)
                if self.is_due(now, const.PULSE_INTERVAL_S):
                    pulse = publisher._create_pulse()
                    publisher.network.post_all(publisher.control_peers(), pulse)
            self.send(now)
            self.deliver(now)

    def is_due(self, now, interval_s):
        return round(now / STEP_S) % round(interval_s / STEP_S) == 0

    def send_first_pulses(self):
        for name, publisher in self.publisher_by_id.items():
            for other in self.names:
                if other != name:
                    publisher.send_pulse(other)

    def take_renewals(self, now):
        while self.renewals and self.renewals[0][0] <= now:
            _, name, number = self.renewals.pop(0)
            target = renewal(f"target-{number:06d}", 1, number=number)
            self.publisher_by_id[name].renew(target)

    def send(self, now):
        for sender, network in self.network_by_id.items():
            for peer, messages in network.posted_by_peer.items():
                for message in messages:
                    self.in_transit.append((now + DELAY_S, sender, peer, message))
            network.posted_by_peer.clear()

    def deliver(self, now):
        due = [entry for entry in self.in_transit if entry[0] <= now + 1e-9]
        self.in_transit = [entry for entry in self.in_transit if entry[0] > now + 1e-9]
        for _, sender, peer, message in due:
            publisher = self.publisher_by_id[peer]
            match message:
                case RegistryPulse():
                    publisher.follower.on_pulse(sender, message)
                case RegistryRows():
                    publisher._on_rows(sender, message)
                case RegistryRequest():
                    self.requests_by_pair[peer, sender] += 1
                    publisher._on_request(sender, message)


@given("{count:d} control instances that start at 0 s")
def mesh_starts(context, count):
    context.mesh = Mesh(count)


@when(
    "{count:d} targets renew themselves from {first:g} s to {last:g} s,"
    " each at one of them"
)
def targets_renew(context, count, first, last):
    mesh = context.mesh
    for number in range(count):
        at = first + (last - first) * number / (count - 1)
        mesh.renewals.append((at, mesh.names[number % len(mesh.names)], number))


@when("the streams between them are open from {now:g} s")
def streams_open(context, now):
    context.mesh.open_from = now


@then("at {now:g} s each knows {count:d} targets")
def each_knows(context, now, count):
    mesh = context.mesh
    mesh.run(now)
    known_by_id = {
        name: len(publisher.follower.registry.known_by_target)
        for name, publisher in mesh.publisher_by_id.items()
    }
    assert known_by_id == dict.fromkeys(mesh.names, count), known_by_id


@then("at {now:g} s none of them is settled")
def none_settled(context, now):
    mesh = context.mesh
    mesh.run(now)
    for name, publisher in mesh.publisher_by_id.items():
        assert not publisher.follower.is_settled, name


@then("up to {now:g} s each has asked each other at most {count:d} times")
def asked_at_most(context, now, count):
    mesh = context.mesh
    mesh.run(now)
    assert max(mesh.requests_by_pair.values(), default=0) <= count, (
        mesh.requests_by_pair
    )
    assert mesh.requests_by_pair
