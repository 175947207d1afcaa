"""Steps for the pulses of the registry."""

from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import settings
from hypothesis import strategies as st

from mothshunt.helpers.peer import frame
from mothshunt.helpers.peer.frame import Frame, FrameKind
from mothshunt.membership.const import (
    PRIMARY_COUNT,
    PRIMARY_PULSE_INTERVAL_S,
    SECONDARY_PULSE_INTERVAL_S,
)
from mothshunt.membership.roster_messages import RosterPulse
from mothshunt.registry import const
from mothshunt.registry.coordinator import RegistryFollower, RegistryPublisher
from mothshunt.registry.messages import RegistryRows, Renewal, RenewalState
from mothshunt.registry.state import TargetRegistry
from tests.support.recording_network import ManualClock, RecordingNetwork

INTERVAL_S = 1.5
CONTROL_INSTANCES = 5


def renewal(name, sequence, cold_ms=0, number=0) -> Renewal:
    return Renewal(
        target=name,
        incarnation=1764806400000,
        sequence=sequence,
        service="inventory-1",
        host=f"10.1.{number // 200}.{number % 200 + 1}",
        port=8080,
        region="north",
        availability_zone="north-a",
        release="v1",
        slots=4,
        state=RenewalState.SERVING,
        cold_ms=cold_ms,
    )


class Sender:
    """Registry of a control instance, with targets that renew themselves there."""

    def __init__(self, count):
        self.registry = TargetRegistry()
        self.names = [f"target-{number:06d}" for number in range(count)]
        self.sequence_by_name = {}
        self.renewed_at_by_name = {}

    def renew(self, name, now, cold_ms=0):
        sequence = self.sequence_by_name.get(name, 0) + 1
        self.sequence_by_name[name] = sequence
        number = self.names.index(name) if name in self.names else len(self.names)
        self.registry.apply_renewal(renewal(name, sequence, cold_ms, number), now)
        self.renewed_at_by_name[name] = now


def send_all(sender, receiver, now):
    for row in sender.registry.all_rows(now).rows:
        receiver.apply_row(row, now)


@given("a control registry whose {count:d} targets renewed at {now:g} s")
def control_registry(context, count, now):
    context.sender = Sender(count)
    for name in context.sender.names:
        context.sender.renew(name, now)


@given("an entry registry that received all its rows at {now:g} s")
@when("an entry registry receives all its rows at {now:g} s")
def entry_registry(context, now):
    context.receiver = TargetRegistry()
    send_all(context.sender, context.receiver, now)


@when("the entry registry receives all its rows at {now:g} s")
def receives_all_again(context, now):
    send_all(context.sender, context.receiver, now)


@when(
    "the targets of the control registry renew, one by one, from {first:g} s "
    "to {last:g} s"
)
def renew_all(context, first, last):
    names = context.sender.names
    for number, name in enumerate(names):
        context.sender.renew(name, first + (last - first) * number / len(names))


@when('target "{name}" renews at the control registry at {now:g} s')
def renews(context, name, now):
    context.sender.renew(name, now)


@when(
    'target "{name}" renews at the control registry at {now:g} s, cold for {cold:d} ms'
)
def renews_cold(context, name, now, cold):
    context.sender.renew(name, now, cold)


@when("all targets but one of the control registry renew each second up to {last:d} s")
def all_but_one(context, last):
    context.last = last


@when("the entry registry receives a pulse of it each second meanwhile")
def pulses_meanwhile(context):
    for now in range(11, context.last):
        for name in context.sender.names[1:]:
            context.sender.renew(name, float(now))
        context.was_accepted = apply_pulse(context, now + 0.2)


@when("the entry registry receives the control registry's pulse at {now:g} s")
def receives_pulse(context, now):
    context.now = now
    context.was_accepted = apply_pulse(context, now)


def apply_pulse(context, now):
    pulse = context.sender.registry.pulse(now, INTERVAL_S)
    return context.receiver.apply_pulse(pulse, now)


@then("the entry registry accepted the pulse")
@then("the entry registry accepted the last pulse")
def accepted(context):
    assert context.was_accepted


@then("the entry registry did not accept the pulse")
def not_accepted(context):
    assert not context.was_accepted


@then("each renewal has its true time there, or one earlier by at most {slack:g} s")
def ages_right(context, slack):
    for name, renewed_at in context.sender.renewed_at_by_name.items():
        stored_at = context.receiver.known_by_target[name].renewed_at
        assert renewed_at - slack - 1e-6 <= stored_at <= renewed_at + 1e-6, name


@then('the entry registry has target "{name}" cold until {until:g} s')
def cold_until(context, name, until):
    found = context.receiver.known_by_target[name].cold_until
    assert abs(found - until) < 0.002, found


@given("a registry publisher that starts at {now:g} s")
def publisher_starts(context, now):
    context.clock = ManualClock(now)
    network = RecordingNetwork()
    context.publisher = RegistryPublisher(
        network=network,
        clock=context.clock,
        follower=RegistryFollower(network, context.clock, INTERVAL_S),
        entries=lambda: (),
        primary_entries=lambda: (),
        control_peers=lambda: (),
    )


@when("a settled control instance sends it all its targets at {now:g} s")
def receives_from_settled(context, now):
    context.clock.now = now
    sender = Sender(3)
    for name in sender.names:
        sender.renew(name, now)
    context.publisher._on_rows("c1", sender.registry.all_rows(now))


@then("its pulses are settled at {now:g} s")
def pulses_settled(context, now):
    assert is_settled(context, now)


@then("its pulses are not settled at {now:g} s")
def pulses_not_settled(context, now):
    assert not is_settled(context, now)


def is_settled(context, now):
    context.clock.now = now
    context.publisher._update_settled(now)
    return context.publisher._create_pulse().is_settled


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["renew", "row", "pulse", "all_rows", "wait"]),
        st.integers(0, 2),
        st.integers(0, 2),
        st.integers(0, 3),
    ),
    min_size=1,
    max_size=60,
)


@then("after any exchange in any order, no renewal looks newer than it is")
def any_exchange(context):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @property_given(STEPS)
    def check(steps):
        now = 100.0
        registries = [TargetRegistry() for _ in range(3)]
        sequence_by_name, renewed_at_by_name = {}, {}
        for verb, one, other, target in steps:
            now += 0.25
            name = f"target-{target}"
            if verb == "renew":
                sequence = sequence_by_name.get(name, 0) + 1
                sequence_by_name[name] = sequence
                renewed_at_by_name[name] = now
                sent = renewal(name, sequence, number=target)
                registries[one].apply_renewal(sent, now)
            elif verb == "row":
                for row in registries[one].rows([name], now):
                    registries[other].apply_row(row, now)
            elif verb == "pulse":
                pulse = registries[one].pulse(now, INTERVAL_S)
                registries[other].apply_pulse(pulse, now)
            elif verb == "all_rows":
                for row in registries[one].all_rows(now).rows:
                    registries[other].apply_row(row, now)
            else:
                now += 5.0
            for registry in registries:
                for known_name, known in registry.known_by_target.items():
                    # A row has its age in whole milliseconds, rounded down.
                    latest = renewed_at_by_name[known_name] + 0.0011
                    assert known.renewed_at <= latest, (known_name, known.renewed_at)

    check()


def size(message):
    return len(frame.encode(Frame(FrameKind.MESSAGE, 0, message)).plain)


@then("its pulses to an entry take less than {limit:d} bytes a second")
def pulse_bytes(context, limit):
    # Each primary sends a pulse per interval, the other control instances one per full
    # interval.
    if hasattr(context, "roster_table"):
        pulse = RosterPulse(digest=2**63, demand=context.roster_table.demand())
        small = RosterPulse(digest=2**63)
        near_s, far_s = PRIMARY_PULSE_INTERVAL_S, SECONDARY_PULSE_INTERVAL_S
    else:
        pulse = small = context.sender.registry.pulse(11.0, INTERVAL_S)
        near_s, far_s = const.PULSE_INTERVAL_S, const.FULL_PULSE_INTERVAL_S
    far = CONTROL_INSTANCES - PRIMARY_COUNT
    per_s = size(pulse) * PRIMARY_COUNT / near_s + size(small) * far / far_s
    assert per_s < limit, per_s


@then("a change of one target takes less than {limit:d} bytes")
def change_bytes(context, limit):
    rows = context.sender.registry.rows(context.sender.names[:1], 11.0)
    assert size(RegistryRows(rows=rows)) < limit, size(RegistryRows(rows=rows))
